import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode MemoryBudget}. */
export interface MemoryBudgetOptions {
  clock: Clock;
  /** Bytes that all claims may hold together. */
  capacityBytes: number;
  /** Part of the capacity that only claims of up to `smallBytes` may use. */
  reservedFraction?: number;
  /** Largest claim that may use the reserved part. */
  smallBytes?: number;
  /** Time without growth after which a claim gives way to others. */
  stalledMs?: number;
}

const RESERVED_FRACTION = 0.25;
const SMALL_BYTES = 16_384;
const STALLED_MS = 250;

/** Memory that one holder is charged for, until it is closed. */
export class MemoryClaim {
  readonly #budget: MemoryBudget;
  #bytes = 0;
  #changedMs = 0;
  #evict: (() => void) | undefined;

  /** Made by {@linkcode MemoryBudget.open}. */
  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Monotonic time of the last growth, milliseconds. */
  get changedMs(): number {
    return this.#changedMs;
  }

  get isEvictable(): boolean {
    return this.#evict !== undefined;
  }

  /** Lets the budget take the memory back for others: it closes the claim and calls
   * `fn`, once. Undefined ends that. */
  onEvict(fn: (() => void) | undefined): void {
    this.#evict = fn;
  }

  /** Charges further bytes; returns false, and charges nothing, if the budget has no
   * room for them. */
  grow(bytes: number): boolean {
    if (!this.#budget.makeRoom(this, bytes)) {
      return false;
    }
    this.#record(bytes);
    return true;
  }

  /** Charges bytes that are held already. Others give way for them as far as they
   * can; beyond that the capacity is exceeded, and nothing new is let in. */
  charge(bytes: number): void {
    this.#budget.makeRoom(this, bytes);
    this.#record(bytes);
  }

  /** Gives all bytes back. Idempotent. */
  close(): void {
    const bytes = this.#bytes;
    this.#bytes = 0;
    this.#evict = undefined;
    this.#budget.release(this, bytes);
  }

  /** Closes the claim and tells its holder. */
  evict(): void {
    const evict = this.#evict;
    this.close();
    evict?.();
  }

  #record(bytes: number): void {
    this.#bytes += bytes;
    this.#changedMs = this.#budget.charge(this, bytes);
  }
}

/**
 * Bounds the memory that a process holds for its clients, under many large bodies
 * at once of which most never end. Room for a body comes from those that have
 * stopped growing, the largest and slowest first. Small requests have a part of
 * their own, for which large bodies give way even while they grow.
 */
export class MemoryBudget {
  readonly capacityBytes: number;
  readonly #clock: Clock;
  readonly #sharedBytes: number;
  readonly #smallBytes: number;
  readonly #stalledMs: number;
  readonly #claims = new Set<MemoryClaim>();
  #heldBytes = 0;
  #evictionCount = 0;

  constructor(
    {
      clock,
      capacityBytes,
      reservedFraction = RESERVED_FRACTION,
      smallBytes = SMALL_BYTES,
      stalledMs = STALLED_MS,
    }: MemoryBudgetOptions,
  ) {
    this.#clock = clock;
    this.capacityBytes = capacityBytes;
    this.#sharedBytes = capacityBytes * (1 - reservedFraction);
    this.#smallBytes = smallBytes;
    this.#stalledMs = stalledMs;
  }

  /** Bytes that are charged to all claims. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of claims that gave way to others since the start. */
  get evictionCount(): number {
    return this.#evictionCount;
  }

  /** Opens a claim that holds nothing yet. */
  open(): MemoryClaim {
    return new MemoryClaim(this);
  }

  /** Whether a claim of `bytes` could be met now, if stalled ones give way. */
  hasRoomFor(bytes: number): boolean {
    const limit = this.#limitOf(bytes);
    if (this.#heldBytes + bytes <= limit) {
      return true;
    }
    let evictable = 0;
    for (const claim of this.#claims) {
      evictable += this.#isStalled(claim) ? claim.bytes : 0;
    }
    return this.#heldBytes - evictable + bytes <= limit;
  }

  /** Evicts other claims until `claim` can grow; returns whether it can. */
  makeRoom(claim: MemoryClaim, bytes: number): boolean {
    const limit = this.#limitOf(claim.bytes + bytes);
    while (this.#heldBytes + bytes > limit) {
      const victim = this.#findVictim(claim, claim.bytes + bytes);
      if (victim === undefined) {
        return false;
      }
      this.#evictionCount += 1;
      victim.evict();
    }
    return true;
  }

  /** Records growth; returns the time. */
  charge(claim: MemoryClaim, bytes: number): number {
    this.#heldBytes += bytes;
    this.#claims.add(claim);
    return this.#clock.monotonicMs();
  }

  /** Records that a claim was closed. */
  release(claim: MemoryClaim, bytes: number): void {
    this.#heldBytes -= bytes;
    this.#claims.delete(claim);
  }

  #limitOf(bytes: number): number {
    return bytes <= this.#smallBytes ? this.capacityBytes : this.#sharedBytes;
  }

  #isStalled(claim: MemoryClaim): boolean {
    return claim.isEvictable &&
      this.#clock.monotonicMs() - claim.changedMs >= this.#stalledMs;
  }

  /** The claim with the most bytes for the longest time without growth; for a small
   * one also the largest that still grows. */
  #findVictim(
    claim: MemoryClaim,
    neededBytes: number,
  ): MemoryClaim | undefined {
    const nowMs = this.#clock.monotonicMs();
    let victim: MemoryClaim | undefined;
    let victimCost = 0;
    for (const other of this.#claims) {
      const idleMs = nowMs - other.changedMs;
      const isLargerThanSmall = neededBytes <= this.#smallBytes &&
        other.bytes > this.#smallBytes;
      const givesWay = idleMs >= this.#stalledMs || isLargerThanSmall;
      const cost = other.bytes * (idleMs + 1);
      if (
        other !== claim && other.isEvictable && givesWay && cost > victimCost
      ) {
        victim = other;
        victimCost = cost;
      }
    }
    return victim;
  }
}
