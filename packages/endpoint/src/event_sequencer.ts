import type { StreamEvent } from "./endpoint_client.ts";

const DEFAULT_MAX_BUFFERED = 256;

/**
 * Reorders events by sequence number: drops duplicates and buffers early events
 * until the gap before them is filled.
 */
export class EventSequencer {
  readonly #maxBuffered: number;
  readonly #buffered = new Map<number, StreamEvent>();
  #nextSequence = 0;

  /** `maxBuffered` limits the number of buffered early events. */
  constructor(
    { maxBuffered = DEFAULT_MAX_BUFFERED }: { maxBuffered?: number } = {},
  ) {
    this.#maxBuffered = maxBuffered;
  }

  /** Sequence number of the next event to deliver. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Accepts one event; returns the events now deliverable, in order. */
  accept(event: StreamEvent): StreamEvent[] {
    if (event.sequence < this.#nextSequence) {
      return [];
    }
    if (
      this.#buffered.size < this.#maxBuffered ||
      event.sequence === this.#nextSequence
    ) {
      this.#buffered.set(event.sequence, event);
    }
    const ready: StreamEvent[] = [];
    for (;;) {
      const found = this.#buffered.get(this.#nextSequence);
      if (found === undefined) {
        return ready;
      }
      this.#buffered.delete(this.#nextSequence);
      this.#nextSequence += 1;
      ready.push(found);
    }
  }
}
