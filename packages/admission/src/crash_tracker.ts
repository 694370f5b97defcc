import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { HeartbeatContributor, Membership } from "@limpetshed/membership";
import type { Metrics } from "@limpetshed/observe";
import { peerpb } from "@limpetshed/peer";

/** Milliseconds for which a quarantined request is rejected. */
const QUARANTINE_MS = 10 * 60_000;
/** Milliseconds for which endpoint losses count against a request. */
const LOSS_RETENTION_MS = 10 * 60_000;
/** Number of distinct endpoints lost after which a request is quarantined. */
const QUARANTINE_AFTER_ENDPOINTS = 2;
const MAX_TRACKED_REQUESTS = 4_096;
const MAX_ENTRIES_PER_HEARTBEAT = 16;

interface LossRecord {
  /** Ids of the endpoints lost while running the request. */
  endpoints: Set<string>;
  expiresAtMs: number;
}

/**
 * Tracks requests whose endpoint went down while running them. A request is
 * identified by its fingerprint, a hash that stays the same when the request is
 * retried on another endpoint. After losses of two endpoints a request is
 * quarantined: all nodes reject it for `QUARANTINE_MS`. The quarantine list is
 * gossiped on heartbeats.
 */
export class CrashTracker implements HeartbeatContributor {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #losses = new Map<bigint, LossRecord>();
  readonly #quarantinedUntilMs = new Map<bigint, number>();

  constructor({ clock, metrics, membership }: {
    clock: Clock;
    metrics: Metrics;
    membership: Membership;
  }) {
    this.#clock = clock;
    this.#metrics = metrics;
    membership.addHeartbeatContributor(this);
  }

  /** Whether a request is to be rejected now; removes an expired entry. */
  isQuarantined(fingerprint: bigint): boolean {
    const untilMs = this.#quarantinedUntilMs.get(fingerprint);
    if (untilMs === undefined) {
      return false;
    }
    if (untilMs <= this.#clock.monotonicMs()) {
      this.#quarantinedUntilMs.delete(fingerprint);
      return false;
    }
    return true;
  }

  /** Returns the number of endpoints lost while running a request. */
  lossCount(fingerprint: bigint): number {
    const loss = this.#losses.get(fingerprint);
    const current = loss !== undefined &&
      loss.expiresAtMs > this.#clock.monotonicMs();
    return current ? loss.endpoints.size : 0;
  }

  /** Records that an endpoint went down while running a request. */
  recordLoss(fingerprint: bigint, endpointId: string): void {
    const expiresAtMs = this.#clock.monotonicMs() + LOSS_RETENTION_MS;
    const endpoints = this.lossCount(fingerprint) > 0
      ? this.#losses.get(fingerprint)!.endpoints
      : new Set<string>();
    endpoints.add(endpointId);
    setBounded(this.#losses, fingerprint, { endpoints, expiresAtMs });
    if (endpoints.size >= QUARANTINE_AFTER_ENDPOINTS) {
      this.#quarantine(fingerprint, QUARANTINE_MS);
    }
  }

  /** Clears the losses of a request that completed: it did not cause them. */
  clearLosses(fingerprint: bigint): void {
    this.#losses.delete(fingerprint);
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    const nowMs = this.#clock.monotonicMs();
    const entries = [...this.#quarantinedUntilMs]
      .filter(([, untilMs]) => untilMs > nowMs)
      .slice(-MAX_ENTRIES_PER_HEARTBEAT);
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

  #quarantine(fingerprint: bigint, durationMs: number): void {
    const untilMs = this.#clock.monotonicMs() + durationMs;
    const known = this.#quarantinedUntilMs.get(fingerprint);
    if (known === undefined) {
      this.#metrics.count("quarantine.added");
    }
    if (known === undefined || known < untilMs) {
      setBounded(this.#quarantinedUntilMs, fingerprint, untilMs);
    }
  }
}

/** Sets an entry as the newest; evicts the oldest above the maximum size. */
function setBounded<T>(map: Map<bigint, T>, key: bigint, value: T): void {
  map.delete(key);
  map.set(key, value);
  if (map.size > MAX_TRACKED_REQUESTS) {
    const [oldest] = map.keys();
    map.delete(oldest!);
  }
}
