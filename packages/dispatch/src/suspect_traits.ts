import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
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
/** Capacity; an entry takes about 400 bytes. */
const MAX_TRAITS = 2_000;

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
  readonly #suspects = new LRUCache<string, Suspect>({
    max: MAX_TRAITS,
    dispose: (_suspect, trait) => this.#active.delete(trait),
  });

  constructor(options: SuspectTraitsOptions) {
    this.#options = options;
  }

  /** Number of traits with crashes. */
  get size(): number {
    return this.#active.size;
  }

  /** Traits at these levels. */
  atLevel(...levels: readonly SuspicionLevel[]): string[] {
    return [...this.#active].filter((trait) =>
      levels.includes(this.level(trait))
    );
  }

  /** The crashes that speak against a trait. */
  crashes(trait: string): Crash[] {
    const suspect = this.#suspects.peek(trait);
    return suspect === undefined ? [] : [...suspect.evidence.crashes.values()];
  }

  /** Whether a crash of `endpoint` no longer speaks against the trait. */
  isCleared(trait: string, endpoint: string): boolean {
    return this.#suspects.peek(trait)?.evidence.isCleared(endpoint) === true;
  }

  /** Adds a crash to a trait; returns whether it is new. */
  add(trait: string, crash: Crash): boolean {
    const suspect = this.#suspects.get(trait) ?? {
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
    this.#suspects.set(trait, suspect);
    this.#active.add(trait);
    if (this.level(trait) === "refused") {
      this.#refuse(trait, suspect);
    }
    return true;
  }

  /** Clears the crash of an endpoint, also if it is yet to be reported. */
  clear(trait: string, endpoint: string): void {
    const suspect = this.#suspects.peek(trait);
    if (suspect === undefined) {
      return;
    }
    suspect.evidence.clear(endpoint);
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
    if (!this.#active.has(trait)) {
      return "none";
    }
    const { evidence: { episodes }, completedBefore } = this.#suspects.peek(
      trait,
    )!;
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
    const suspect = this.#suspects.peek(trait)!;
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
    const { hasFailedTrial } = this.#suspects.peek(trait)!.evidence;
    const crashes = this.crashes(trait);
    const minCrashes = crashes.length + (hasFailedTrial ? 1 : 0);
    const others = this.atLevel("refused")
      .filter((other) => isPartTrait(other) && !traits.includes(other))
      .map((other) => this.#suspects.peek(other)!.evidence.crashes)
      .filter(({ size }) => size >= minCrashes);
    return crashes.every(({ endpoint }) =>
      others.some((other) => other.has(endpoint))
    );
  }

  /** Forgets traits for which there has been no new evidence for long. */
  expire(): void {
    const now = this.#options.clock.monotonicMs();
    for (const trait of [...this.#active]) {
      const { evidence, refusedUntilMs } = this.#suspects.peek(trait)!;
      if (
        Math.max(evidence.lastCrashMs, refusedUntilMs) + CRASH_TTL_MS <= now
      ) {
        this.#suspects.delete(trait);
      }
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
