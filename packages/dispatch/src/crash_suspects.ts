import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";

/** An endpoint that went down while it executed a request. */
export interface CrashReport {
  /** Identical for all repeats of a request. */
  fingerprint: string;
  /** Key of the endpoint. */
  endpoint: string;
}

/** A request that is refused because endpoints crashed while executing it. */
export interface CrashSuspect {
  fingerprint: string;
  /** Keys of the endpoints that went down while executing it. */
  endpoints: readonly string[];
}

/** Number of crashed endpoints at which a request is refused. One may be
 * coincidence, but each further crash fails all requests in flight there. */
const REFUSAL_CRASH_COUNT = 2;
/** How long crashes of a request are remembered after the latest one; well over
 * the time for which callers keep repeating it. */
const CRASH_TTL_MS = 60_000;
/** A lost response counts as a crash if the endpoint is found down within this
 * time; crashed endpoints stay down for seconds. */
const CRASH_CONFIRMATION_MS = 3_000;
/** Capacity of each map; an entry takes about 200 bytes. */
const MAX_ENTRIES = 2_000;

interface CrashRecord {
  endpoints: Set<string>;
  expiresAtMs: number;
}

interface LostResponse {
  fingerprint: string;
  atMs: number;
}

/**
 * Detects requests that crash the endpoints executing them, so that repeats
 * through this or other nodes are refused. A lost response counts only if the
 * endpoint is found down soon after. A request that was merely in flight on a
 * crashing endpoint is cleared once it completes.
 */
export class CrashSuspects {
  readonly #clock: Clock;
  readonly #onRefused: (suspect: CrashSuspect) => void;
  readonly #crashes = new LRUCache<string, CrashRecord>({ max: MAX_ENTRIES });
  readonly #losses = new LRUCache<string, LostResponse[]>({ max: MAX_ENTRIES });
  #reports: CrashReport[] = [];

  constructor(
    { clock, onRefused = () => {} }: {
      clock: Clock;
      /** Called when a request has crashed `REFUSAL_CRASH_COUNT` endpoints and
       * is refused from then on. */
      onRefused?: (suspect: CrashSuspect) => void;
    },
  ) {
    this.#clock = clock;
    this.#onRefused = onRefused;
  }

  /** Whether any crash is recorded; if not, callers can skip computing
   * fingerprints. */
  get hasCrashes(): boolean {
    return this.#crashes.size > 0;
  }

  /** Time for which the request is still refused, milliseconds; 0 if it is
   * not. */
  refusalRemainingMs(fingerprint: string): number {
    const crashes = this.#findUnexpired(fingerprint);
    return crashes === undefined ||
        crashes.endpoints.size < REFUSAL_CRASH_COUNT
      ? 0
      : crashes.expiresAtMs - this.#clock.monotonicMs();
  }

  /** Records that the connection to an endpoint ended before the response to
   * the request was complete. */
  recordLostResponse({ fingerprint, endpoint }: CrashReport): void {
    const losses = this.#losses.get(endpoint) ?? [];
    losses.push({ fingerprint, atMs: this.#clock.monotonicMs() });
    this.#losses.set(endpoint, losses);
  }

  /** Records that an endpoint is unreachable or has restarted. */
  recordEndpointDown(endpoint: string): void {
    const oldestMs = this.#clock.monotonicMs() - CRASH_CONFIRMATION_MS;
    const losses = this.#losses.get(endpoint) ?? [];
    this.#losses.delete(endpoint);
    for (const { fingerprint, atMs } of losses) {
      if (atMs >= oldestMs) {
        const report = { fingerprint, endpoint };
        this.#recordCrash(report);
        this.#reports.push(report);
      }
    }
  }

  /** Records that a request completed. Clears its crashes, since it does not
   * crash endpoints. */
  recordCompleted(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
  }

  /** Merges the crashes that other nodes report. */
  applyPeerReports(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.#recordCrash(report));
  }

  /** Returns the crashes that this node detected since the last call. */
  takeReports(): CrashReport[] {
    const reports = this.#reports;
    this.#reports = [];
    return reports;
  }

  #recordCrash({ fingerprint, endpoint }: CrashReport): void {
    const crashes = this.#findUnexpired(fingerprint) ??
      { endpoints: new Set(), expiresAtMs: 0 };
    if (crashes.endpoints.has(endpoint)) {
      return;
    }
    crashes.endpoints.add(endpoint);
    crashes.expiresAtMs = this.#clock.monotonicMs() + CRASH_TTL_MS;
    this.#crashes.set(fingerprint, crashes);
    if (crashes.endpoints.size === REFUSAL_CRASH_COUNT) {
      this.#onRefused({ fingerprint, endpoints: [...crashes.endpoints] });
    }
  }

  #findUnexpired(fingerprint: string): CrashRecord | undefined {
    const crashes = this.#crashes.get(fingerprint);
    if (
      crashes !== undefined && crashes.expiresAtMs <= this.#clock.monotonicMs()
    ) {
      this.#crashes.delete(fingerprint);
      return undefined;
    }
    return crashes;
  }
}
