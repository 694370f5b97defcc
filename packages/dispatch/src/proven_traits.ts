import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";

/** Traits that are remembered; an entry takes about 150 bytes. */
const MAX_TRAITS = 10_000;
/** How long a complete response speaks for a trait. */
const PROOF_TTL_MS = 600_000;

/** Remembers which traits requests had that were answered in full, and how many
 * requests of each service were. */
export class ProvenTraits {
  readonly #clock: Clock;
  readonly #completedMs = new LRUCache<string, number>(
    boundedEntries(MAX_TRAITS),
  );
  readonly #countByService = new LRUCache<string, number>(
    boundedEntries(MAX_TRAITS),
  );

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Records a request that was answered in full. */
  add(service: string, traits: readonly string[]): void {
    const now = this.#clock.monotonicMs();
    traits.forEach((trait) => this.#completedMs.set(trait, now));
    this.#countByService.set(service, this.count(service) + 1);
  }

  /** Whether a request with the trait was answered in full not long ago. */
  has(trait: string): boolean {
    const completedMs = this.#completedMs.get(trait);
    return completedMs !== undefined &&
      this.#clock.monotonicMs() - completedMs <= PROOF_TTL_MS;
  }

  /** Number of requests of the service answered in full. */
  count(service: string): number {
    return this.#countByService.get(service) ?? 0;
  }
}
