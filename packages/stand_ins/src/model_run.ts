import { AsyncQueue } from "@limpetshed/base";
import type { StreamEvent, Usage } from "@limpetshed/endpoint";

/** One request inside the model stand-in, and all it has produced so far. */
export class ModelRun {
  readonly requestId: string;
  readonly events: StreamEvent[] = [];
  readonly #readers = new Set<AsyncQueue<StreamEvent>>();
  usage: Usage = { promptTokens: 0, completionTokens: 0, cachedTokens: 0 };
  /** Milliseconds on the engine's clock when the first event came. */
  firstEventMs: number | undefined;
  finished = false;
  cancelled = false;
  broken = false;

  constructor(requestId: string) {
    this.requestId = requestId;
  }

  #connection: object | undefined;

  /** Records which connection reads the run now. */
  setConnection(connection: object): void {
    this.#connection = connection;
  }

  /** Whether `connection` is the last one that read the run. */
  isCurrentConnection(connection: object): boolean {
    return this.#connection === connection;
  }

  /** Adds the next event. */
  append(data: string): void {
    const event = { sequence: this.events.length, data };
    this.events.push(event);
    this.#readers.forEach((reader) => reader.push(event));
  }

  /** Marks the run as ended; readers end after the last event. */
  finish(): void {
    this.finished = true;
    this.#readers.forEach((reader) => reader.close());
  }

  /** Ends the run as a crash does; readers see an error. */
  crash(): void {
    this.broken = true;
    this.finish();
  }

  /** Ends all present readers with an error; the run goes on. */
  disconnectReaders(): void {
    for (const reader of this.#readers) {
      reader.close();
    }
    this.#readers.clear();
  }

  /** Yields the events after a sequence number, and those to come. */
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
