import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";

/** An endpoint that went down while it had a request. */
export interface CrashReport {
  /** The same for every repeat of a request. */
  fingerprint: string;
  /** Key of the endpoint. */
  endpoint: string;
}

/** A request that is refused. */
export interface CrashSuspect {
  fingerprint: string;
  /** Keys of the endpoints that went down with it. */
  endpoints: readonly string[];
}

/** Endpoints that a request may bring down before it is refused: one may be
 * chance, and each costs all that runs there. */
const CRASHES_UNTIL_REFUSED = 2;
/** How long a crash is held against a request, milliseconds: well over the
 * time for which callers keep repeating. */
const HELD_MS = 60_000;
/** An endpoint that is found down this long after it lost a request went down
 * with it, milliseconds; crashed endpoints stay away for seconds. */
const CONFIRM_MS = 3_000;
/** Some 200 bytes each. */
const MAX_REQUESTS = 2_000;

interface Crashes {
  endpoints: Set<string>;
  untilMs: number;
}

interface Loss {
  fingerprint: string;
  atMs: number;
}

/**
 * Answers a request that brings down each endpoint that runs it and is sent
 * again, here or through other nodes. A lost answer alone counts for nothing:
 * the endpoint must be found down soon after. A request that was running
 * beside the guilty one is cleared when it completes.
 */
export class CrashSuspects {
  readonly #clock: Clock;
  readonly #onRefused: (suspect: CrashSuspect) => void;
  readonly #crashes = new LRUCache<string, Crashes>({ max: MAX_REQUESTS });
  readonly #losses = new LRUCache<string, Loss[]>({ max: MAX_REQUESTS });
  #news: CrashReport[] = [];

  constructor(
    { clock, onRefused = () => {} }: {
      clock: Clock;
      /** Told when a request begins to be refused. */
      onRefused?: (suspect: CrashSuspect) => void;
    },
  ) {
    this.#clock = clock;
    this.#onRefused = onRefused;
  }

  /** Whether any request is held to have brought an endpoint down; if none is,
   * fingerprints need not be worked out. */
  get hasCrashes(): boolean {
    return this.#crashes.size > 0;
  }

  /** How long the request is still refused, milliseconds; 0 if it is not. */
  refusalRemainingMs(fingerprint: string): number {
    const crashes = this.#current(fingerprint);
    return crashes === undefined ||
        crashes.endpoints.size < CRASHES_UNTIL_REFUSED
      ? 0
      : crashes.untilMs - this.#clock.monotonicMs();
  }

  /** The connection to an endpoint that had the request ended without its
   * answer. */
  lost({ fingerprint, endpoint }: CrashReport): void {
    const losses = this.#losses.get(endpoint) ?? [];
    losses.push({ fingerprint, atMs: this.#clock.monotonicMs() });
    this.#losses.set(endpoint, losses);
  }

  /** An endpoint could not be reached, or its place was taken by a new start. */
  endpointDown(endpoint: string): void {
    const oldestMs = this.#clock.monotonicMs() - CONFIRM_MS;
    const losses = this.#losses.get(endpoint) ?? [];
    this.#losses.delete(endpoint);
    for (const { fingerprint, atMs } of losses) {
      if (atMs >= oldestMs) {
        const report = { fingerprint, endpoint };
        this.#note(report);
        this.#news.push(report);
      }
    }
  }

  /** The request completed, so that it is not what brings endpoints down. */
  completed(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
  }

  /** Takes over what other nodes saw. */
  applyPeerReports(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.#note(report));
  }

  /** What this node saw since the last call. */
  takeReports(): CrashReport[] {
    const news = this.#news;
    this.#news = [];
    return news;
  }

  #note({ fingerprint, endpoint }: CrashReport): void {
    const crashes = this.#current(fingerprint) ??
      { endpoints: new Set(), untilMs: 0 };
    if (crashes.endpoints.has(endpoint)) {
      return;
    }
    crashes.endpoints.add(endpoint);
    crashes.untilMs = this.#clock.monotonicMs() + HELD_MS;
    this.#crashes.set(fingerprint, crashes);
    if (crashes.endpoints.size === CRASHES_UNTIL_REFUSED) {
      this.#onRefused({ fingerprint, endpoints: [...crashes.endpoints] });
    }
  }

  #current(fingerprint: string): Crashes | undefined {
    const crashes = this.#crashes.get(fingerprint);
    if (crashes !== undefined && crashes.untilMs <= this.#clock.monotonicMs()) {
      this.#crashes.delete(fingerprint);
      return undefined;
    }
    return crashes;
  }
}
