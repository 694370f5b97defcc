/** An endpoint that crashed while it ran a request. Times are monotonic. */
export interface Crash {
  /** Key of the endpoint. */
  endpoint: string;
  /** Time at which the request was sent to the endpoint. */
  sentMs: number;
  /** Time at which the response was lost. */
  crashedMs: number;
  /** Whether the request was sent to try the trait, which was suspect. */
  isTrial: boolean;
}

/** More crashes of one trait add nothing. */
const MAX_CRASHES = 32;

/** Crashes of endpoints that ran requests with one trait, since a request with it
 * was last answered in full. */
export class TraitEvidence {
  readonly #crashes = new Map<string, Crash>();
  /** Endpoints whose crashes are explained otherwise; reports of them may still
   * arrive. */
  readonly #cleared = new Set<string>();
  #episodes = 0;

  /** Crashes by endpoint key. */
  get crashes(): ReadonlyMap<string, Crash> {
    return this.#crashes;
  }

  /**
   * Number of crashes that followed one another: each of the requests was sent
   * after the crash before it. Endpoints that lose power together are one
   * episode, however many they are.
   */
  get episodes(): number {
    return this.#episodes;
  }

  /** Time of the last crash; negative infinity if there is none. */
  get lastCrashMs(): number {
    return Math.max(
      ...[...this.#crashes.values()].map(({ crashedMs }) => crashedMs),
    );
  }

  /** Whether a request that was sent to try the trait ended in a crash. */
  get hasFailedTrial(): boolean {
    return [...this.#crashes.values()].some(({ isTrial }) => isTrial);
  }

  /** Adds a crash; returns whether it is new. */
  add(crash: Crash): boolean {
    const { endpoint } = crash;
    if (
      this.#crashes.has(endpoint) || this.#cleared.has(endpoint) ||
      this.#crashes.size >= MAX_CRASHES
    ) {
      return false;
    }
    this.#crashes.set(endpoint, crash);
    this.#countEpisodes();
    return true;
  }

  /** Whether a crash of `endpoint` was cleared. */
  isCleared(endpoint: string): boolean {
    return this.#cleared.has(endpoint);
  }

  /** Clears the crash of one endpoint, also if it is yet to be reported. */
  clear(endpoint: string): void {
    this.#crashes.delete(endpoint);
    this.#cleared.add(endpoint);
    if (this.#cleared.size > MAX_CRASHES) {
      const [oldest] = this.#cleared;
      this.#cleared.delete(oldest!);
    }
    this.#countEpisodes();
  }

  /** Counts the largest set of requests of which no two overlap. */
  #countEpisodes(): void {
    const inOrder = [...this.#crashes.values()].sort((a, b) =>
      a.crashedMs - b.crashedMs
    );
    let lastCrashMs = Number.NEGATIVE_INFINITY;
    this.#episodes = 0;
    for (const { sentMs, crashedMs } of inOrder) {
      if (sentMs >= lastCrashMs) {
        this.#episodes += 1;
        lastCrashMs = crashedMs;
      }
    }
  }
}
