import { Buffer } from "node:buffer";

const EVENT_END = "\n\n";
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g;
const EMPTY = Buffer.alloc(0);

/**
 * Holds back the unfinished event at the end of a stream of server-sent
 * events, so that the stream can go on elsewhere after a whole event.
 */
export class EventFramer {
  #rest: Buffer = EMPTY;
  #lastEventId: string | undefined;

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Takes bytes as they arrive; returns the whole events among them. */
  push(chunk: Buffer): Buffer {
    const data = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const at = data.lastIndexOf(EVENT_END);
    if (at < 0) {
      this.#rest = data;
      return EMPTY;
    }
    const end = at + EVENT_END.length;
    this.#rest = data.subarray(end);
    const whole = data.subarray(0, end);
    for (const [, id] of whole.toString("latin1").matchAll(ID_LINE)) {
      this.#lastEventId = id;
    }
    return whole;
  }

  /** What is left at the end of a complete answer. */
  flush(): Buffer {
    const rest = this.#rest;
    this.#rest = EMPTY;
    return rest;
  }

  /** Forgets the unfinished event, before the stream goes on elsewhere. */
  dropRest(): void {
    this.#rest = EMPTY;
  }
}
