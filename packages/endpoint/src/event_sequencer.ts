import type { StreamEvent } from "./endpoint_client.ts";

const DEFAULT_MAX_HELD = 256;

/**
 * Puts events in order: drops duplicates, holds early ones until the gap
 * before them is filled.
 */
export class EventSequencer {
  readonly #maxHeld: number;
  readonly #held = new Map<number, StreamEvent>();
  #next = 0;

  /** `maxHeld` bounds the number of early events kept. */
  constructor({ maxHeld = DEFAULT_MAX_HELD }: { maxHeld?: number } = {}) {
    this.#maxHeld = maxHeld;
  }

  /** Sequence number of the next event to deliver. */
  get next(): number {
    return this.#next;
  }

  /** Takes one event; returns those that can be delivered now, in order. */
  accept(event: StreamEvent): StreamEvent[] {
    if (event.sequence < this.#next) {
      return [];
    }
    if (this.#held.size < this.#maxHeld || event.sequence === this.#next) {
      this.#held.set(event.sequence, event);
    }
    const ready: StreamEvent[] = [];
    for (;;) {
      const found = this.#held.get(this.#next);
      if (found === undefined) {
        return ready;
      }
      this.#held.delete(this.#next);
      this.#next += 1;
      ready.push(found);
    }
  }
}
