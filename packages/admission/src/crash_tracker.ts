import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { HeartbeatExtension, Membership } from "@limpetshed/membership";
import type { Metrics } from "@limpetshed/observe";
import { peerpb } from "@limpetshed/peer";

/** Milliseconds that a quarantined request is refused. */
const QUARANTINE_MS = 10 * 60_000;
/** Milliseconds that a loss is held against a request. */
const LOSS_KEPT_MS = 10 * 60_000;
/** Distinct endpoints lost while running a request before it is refused. */
const LOSSES_UNTIL_QUARANTINE = 2;
const MAX_TRACKED = 4_096;
const MAX_SENT = 16;

interface Loss {
  endpoints: Set<string>;
  expiresAtMs: number;
}

/**
 * Requests that endpoints were lost while running. After two endpoints the
 * request is refused everywhere for a time; the list spreads on heartbeats.
 */
export class CrashTracker implements HeartbeatExtension {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #losses = new Map<bigint, Loss>();
  readonly #quarantined = new Map<bigint, number>();

  constructor({ clock, metrics, membership }: {
    clock: Clock;
    metrics: Metrics;
    membership: Membership;
  }) {
    this.#clock = clock;
    this.#metrics = metrics;
    membership.addHeartbeatExtension(this);
  }

  /** Whether the request is refused everywhere now. */
  isQuarantined(fingerprint: bigint): boolean {
    const untilMs = this.#quarantined.get(fingerprint);
    if (untilMs === undefined) {
      return false;
    }
    if (untilMs <= this.#clock.monotonicMs()) {
      this.#quarantined.delete(fingerprint);
      return false;
    }
    return true;
  }

  /** Endpoints lost so far while running the request. */
  lossCount(fingerprint: bigint): number {
    const loss = this.#losses.get(fingerprint);
    const current = loss !== undefined &&
      loss.expiresAtMs > this.#clock.monotonicMs();
    return current ? loss.endpoints.size : 0;
  }

  /** An endpoint went down while running the request. */
  lost(fingerprint: bigint, endpointId: string): void {
    const expiresAtMs = this.#clock.monotonicMs() + LOSS_KEPT_MS;
    const endpoints = this.lossCount(fingerprint) > 0
      ? this.#losses.get(fingerprint)!.endpoints
      : new Set<string>();
    endpoints.add(endpointId);
    remember(this.#losses, fingerprint, { endpoints, expiresAtMs });
    if (endpoints.size >= LOSSES_UNTIL_QUARANTINE) {
      this.#quarantine(fingerprint, QUARANTINE_MS);
    }
  }

  /** The request completed: it is not what brought endpoints down. */
  completed(fingerprint: bigint): void {
    this.#losses.delete(fingerprint);
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    const nowMs = this.#clock.monotonicMs();
    const entries = [...this.#quarantined]
      .filter(([, untilMs]) => untilMs > nowMs)
      .slice(-MAX_SENT);
    for (const [fingerprint, untilMs] of entries) {
      heartbeat.quarantine.push(create(peerpb.QuarantineEntrySchema, {
        fingerprint,
        remainingMs: Math.floor(untilMs - nowMs),
      }));
    }
  }

  readFrom(heartbeat: peerpb.Heartbeat): void {
    for (const { fingerprint, remainingMs } of heartbeat.quarantine) {
      this.#quarantine(fingerprint, Math.min(remainingMs, QUARANTINE_MS));
    }
  }

  #quarantine(fingerprint: bigint, ms: number): void {
    const untilMs = this.#clock.monotonicMs() + ms;
    const known = this.#quarantined.get(fingerprint);
    if (known === undefined) {
      this.#metrics.count("quarantine.added");
    }
    if (known === undefined || known < untilMs) {
      remember(this.#quarantined, fingerprint, untilMs);
    }
  }
}

function remember<T>(map: Map<bigint, T>, key: bigint, value: T): void {
  map.delete(key);
  map.set(key, value);
  if (map.size > MAX_TRACKED) {
    const [oldest] = map.keys();
    map.delete(oldest!);
  }
}
