import { AsyncQueue } from "@limpetshed/base";
import type { StreamEvent, TokenUsage } from "@limpetshed/endpoint";

/** Generation run of one request, with all events produced so far. */
export class ModelRun {
  readonly requestId: string;
  readonly events: StreamEvent[] = [];
  readonly #readers = new Set<AsyncQueue<StreamEvent>>();
  usage: TokenUsage = { promptTokens: 0, completionTokens: 0, cachedTokens: 0 };
  /** Monotonic clock time of the first event, in milliseconds. */
  firstEventMs: number | undefined;
  finished = false;
  cancelled = false;
  /** Whether the run ended by a crash of the engine. */
  broken = false;

  constructor(requestId: string) {
    this.requestId = requestId;
  }

  #connection: object | undefined;

  /** Sets the connection that currently reads the run. */
  setConnection(connection: object): void {
    this.#connection = connection;
  }

  /** Whether `connection` is the latest one to read the run. */
  isCurrentConnection(connection: object): boolean {
    return this.#connection === connection;
  }

  /** Appends an event and delivers it to all readers. */
  append(data: string): void {
    const event = { sequence: this.events.length, data };
    this.events.push(event);
    this.#readers.forEach((reader) => reader.push(event));
  }

  /** Finishes the run; readers end after the last event. */
  finish(): void {
    this.finished = true;
    this.#readers.forEach((reader) => reader.close());
  }

  /** Ends the run as a crash of the engine does; readers fail. */
  crash(): void {
    this.broken = true;
    this.finish();
  }

  /** Disconnects all current readers; the run continues. */
  disconnectReaders(): void {
    for (const reader of this.#readers) {
      reader.close();
    }
    this.#readers.clear();
  }

  /**
   * Yields all events after a sequence number, past and future. Throws if the
   * stream ends without `[DONE]`.
   */
  async *read(after: number): AsyncIterable<StreamEvent> {
    const reader = new AsyncQueue<StreamEvent>();
    this.events.slice(after + 1).forEach((event) => reader.push(event));
    if (this.finished) {
      reader.close();
    }
    this.#readers.add(reader);
    let last: StreamEvent | undefined;
    try {
      for await (const event of reader) {
        last = event;
        yield event;
      }
    } finally {
      this.#readers.delete(reader);
    }
    if (this.broken || last?.data !== "[DONE]") {
      throw new Error("connection lost");
    }
  }
}
