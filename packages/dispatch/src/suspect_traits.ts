import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";
import { isPartTrait, traitService } from "./crash_traits.ts";
import type { ProvenTraits } from "./proven_traits.ts";
import { type Crash, TraitEvidence } from "./trait_evidence.ts";

/** How requests with a trait are treated; `trial` allows one at a time. */
export type SuspicionLevel = "none" | "trial" | "refused";

/** A trait whose requests are refused. */
export interface CrashSuspect {
  trait: string;
  /** Keys of the endpoints that crashed while running requests with it. */
  endpoints: readonly string[];
  /** Time for which requests are refused, milliseconds. */
  refusedMs: number;
}

/** Options of {@linkcode SuspectTraits}. */
export interface SuspectTraitsOptions {
  clock: Clock;
  proven: ProvenTraits;
  /** Called when requests with a trait begin to be refused, or are again. */
  onRefused: (suspect: CrashSuspect) => void;
  /** Called when a trait that was refused has proved harmless. */
  onCleared: (trait: string) => void;
}

/** Episodes from which requests with a trait are refused. Repeats of one request
 * have more in common than requests that share a part. */
const REQUEST_REFUSAL_EPISODES = 2;
const PART_REFUSAL_EPISODES = 3;
const PROVEN_PART_REFUSAL_EPISODES = 4;
/** Requests without a proven part that must have been answered since its first
 * crash: if all requests fail, the part is not the reason. */
const MIN_OTHERS_COMPLETED = 5;
/** How long crashes are remembered after the latest one or the end of the
 * refusal; well over the time for which callers keep repeating a request. */
const CRASH_TTL_MS = 60_000;
/** First time for which a trait is refused; doubles with each trial that ends in
 * a crash. */
const REFUSAL_MS = 60_000;
const PROVEN_REFUSAL_MS = 5_000;
const MAX_REFUSAL_MS = 600_000;
/** Interval at which old evidence is looked for. */
const EXPIRY_INTERVAL_MS = 1_000;
/** Traits with one crash or none, those of several full endpoints; an entry takes
 * about 400 bytes. */
const MAX_SINGLE_TRAITS = 8_000;
/** Traits with several crashes. */
const MAX_REPEATED_TRAITS = 2_000;

interface Suspect {
  evidence: TraitEvidence;
  /** Requests of the trait's service answered before its first crash. */
  completedBefore: number;
  /** Number of times that a refusal began. */
  refusals: number;
  refusedUntilMs: number;
}

/** Keeps the evidence against each trait and decides which ones to refuse. */
export class SuspectTraits {
  readonly #options: SuspectTraitsOptions;
  /** Traits with crashes. */
  readonly #active = new Set<string>();
  /** Traits with one crash, or with none that still speaks against them. Kept
   * apart so that they cannot displace evidence that several crashes share. */
  readonly #single = new LRUCache<string, Suspect>({
    ...boundedEntries(MAX_SINGLE_TRAITS),
    dispose: (_suspect, trait, reason) => this.#onDisposed(trait, reason),
  });
  /** Traits with several crashes. */
  readonly #repeated = new LRUCache<string, Suspect>({
    ...boundedEntries(MAX_REPEATED_TRAITS),
    dispose: (_suspect, trait, reason) => this.#onDisposed(trait, reason),
  });
  #dropped = 0;
  #lastExpiryMs = Number.NEGATIVE_INFINITY;

  constructor(options: SuspectTraitsOptions) {
    this.#options = options;
  }

  /** Number of traits with crashes. */
  get size(): number {
    return this.#active.size;
  }

  /** Returns the number of traits that were dropped with their crashes since the
   * last call, as there were too many. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Traits at this level; each has several crashes. */
  atLevel(level: "refused" | "trial"): string[] {
    return [...this.#repeated.keys()].filter((trait) =>
      this.level(trait) === level
    );
  }

  /** The crashes that speak against a trait. */
  crashes(trait: string): Crash[] {
    const suspect = this.#peek(trait);
    return suspect === undefined ? [] : [...suspect.evidence.crashes.values()];
  }

  /** Whether a crash of `endpoint` no longer speaks against the trait. */
  isCleared(trait: string, endpoint: string): boolean {
    return this.#peek(trait)?.evidence.isCleared(endpoint) === true;
  }

  /** Adds a crash to a trait; returns whether it is new. */
  add(trait: string, crash: Crash): boolean {
    const suspect = this.#peek(trait) ?? {
      evidence: new TraitEvidence(),
      completedBefore: 0,
      refusals: 0,
      refusedUntilMs: Number.NEGATIVE_INFINITY,
    };
    if (!suspect.evidence.add(crash)) {
      return false;
    }
    if (suspect.evidence.crashes.size === 1) {
      suspect.completedBefore = this.#completedCount(trait);
    }
    this.#active.add(trait);
    this.#store(trait, suspect);
    if (this.level(trait) === "refused") {
      this.#refuse(trait, suspect);
    }
    return true;
  }

  /** Clears the crash of an endpoint, also if it is yet to be reported. */
  clear(trait: string, endpoint: string): void {
    const suspect = this.#peek(trait);
    if (suspect === undefined) {
      return;
    }
    suspect.evidence.clear(endpoint);
    this.#store(trait, suspect);
    if (suspect.evidence.crashes.size > 0) {
      return;
    }
    this.#active.delete(trait);
    if (suspect.refusals > 0) {
      suspect.refusals = 0;
      suspect.refusedUntilMs = Number.NEGATIVE_INFINITY;
      this.#options.onCleared(trait);
    }
  }

  /** How requests with a trait are treated. */
  level(trait: string): SuspicionLevel {
    const suspect = this.#repeated.peek(trait);
    if (suspect === undefined) {
      return "none";
    }
    const { evidence: { episodes }, completedBefore } = suspect;
    if (!isPartTrait(trait)) {
      return episodes >= REQUEST_REFUSAL_EPISODES ? "refused" : "none";
    }
    if (this.#options.proven.has(trait)) {
      const others = this.#completedCount(trait) - completedBefore;
      return episodes >= PROVEN_PART_REFUSAL_EPISODES &&
          others >= MIN_OTHERS_COMPLETED
        ? "refused"
        : "none";
    }
    if (episodes >= PART_REFUSAL_EPISODES) {
      return "refused";
    }
    return episodes === PART_REFUSAL_EPISODES - 1 ? "trial" : "none";
  }

  /** Time until a trait at level `refused` may be tried again, milliseconds; 0 or
   * less if it may be. */
  refusalRemainingMs(trait: string): number {
    const suspect = this.#peek(trait)!;
    // A proven part reaches the level without a further crash, when enough other
    // requests have been answered.
    if (suspect.refusals === 0) {
      this.#refuse(trait, suspect);
    }
    return suspect.refusedUntilMs - this.#options.clock.monotonicMs();
  }

  /**
   * Whether other traits, which a request with `traits` does not have, explain
   * all crashes of one of them: refused parts with more crashes or, until a trial
   * decides between them, as many.
   */
  isExplained(trait: string, traits: readonly string[]): boolean {
    const { hasFailedTrial } = this.#peek(trait)!.evidence;
    const crashes = this.crashes(trait);
    const minCrashes = crashes.length + (hasFailedTrial ? 1 : 0);
    const others = this.atLevel("refused")
      .filter((other) => isPartTrait(other) && !traits.includes(other))
      .map((other) => this.#peek(other)!.evidence.crashes)
      .filter(({ size }) => size >= minCrashes);
    return crashes.every(({ endpoint }) =>
      others.some((other) => other.has(endpoint))
    );
  }

  /** Forgets traits for which there has been no new evidence for long. */
  expire(): void {
    const now = this.#options.clock.monotonicMs();
    if (now - this.#lastExpiryMs < EXPIRY_INTERVAL_MS) {
      return;
    }
    this.#lastExpiryMs = now;
    for (const trait of [...this.#active]) {
      const { evidence, refusedUntilMs } = this.#peek(trait)!;
      if (
        Math.max(evidence.lastCrashMs, refusedUntilMs) + CRASH_TTL_MS <= now
      ) {
        this.#single.delete(trait);
        this.#repeated.delete(trait);
      }
    }
  }

  #peek(trait: string): Suspect | undefined {
    return this.#repeated.peek(trait) ?? this.#single.peek(trait);
  }

  /** Keeps a trait among those with as many crashes as it has. */
  #store(trait: string, suspect: Suspect): void {
    const isRepeated = suspect.evidence.crashes.size > 1;
    (isRepeated ? this.#repeated : this.#single).set(trait, suspect);
    (isRepeated ? this.#single : this.#repeated).delete(trait);
  }

  #onDisposed(trait: string, reason: LRUCache.DisposeReason): void {
    const isMoved = this.#single.has(trait) && this.#repeated.has(trait);
    if (reason === "set" || isMoved || !this.#active.delete(trait)) {
      return;
    }
    if (reason === "evict") {
      this.#dropped += 1;
    }
  }

  /** Starts a refusal, unless one is in force: crashes of requests that were in
   * flight before it do not extend it. */
  #refuse(trait: string, suspect: Suspect): void {
    const { clock, proven, onRefused } = this.#options;
    const now = clock.monotonicMs();
    if (suspect.refusedUntilMs > now) {
      return;
    }
    const firstMs = proven.has(trait) ? PROVEN_REFUSAL_MS : REFUSAL_MS;
    const refusedMs = Math.min(MAX_REFUSAL_MS, firstMs * 2 ** suspect.refusals);
    suspect.refusals += 1;
    suspect.refusedUntilMs = now + refusedMs;
    onRefused({
      trait,
      endpoints: [...suspect.evidence.crashes.keys()],
      refusedMs,
    });
  }

  #completedCount(trait: string): number {
    return this.#options.proven.count(traitService(trait));
  }
}
