import { create } from "@bufbuild/protobuf";
import { AsyncQueue, type Deferred, deferred } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import {
  type Frame,
  FrameSchema,
} from "./generated/limpetshed/peer/v1/peer_pb.ts";
import type { FrameBody } from "./messages.ts";

/** Opens a bidirectional stream: takes outgoing, returns incoming frames. */
export type LinkOpener = (
  outgoing: AsyncIterable<Frame>,
) => AsyncIterable<Frame>;

/** Called for each frame sent or received. */
export type FrameCounter = (direction: "sent" | "received") => void;

/**
 * Multiplexes requests over one bidirectional stream to a peer and matches
 * responses to requests by frame id.
 */
export class Link {
  readonly #outgoing = new AsyncQueue<Frame>();
  readonly #pending = new Map<bigint, Deferred<FrameBody>>();
  readonly #onFrame: FrameCounter;
  #nextId = 1n;
  #closed = false;
  /** Resolves once the stream has ended; never rejects. */
  readonly ended: Promise<void>;

  constructor({ open, onFrame }: { open: LinkOpener; onFrame: FrameCounter }) {
    this.#onFrame = onFrame;
    this.ended = this.#read(open(this.#outgoing));
  }

  /** Sends a request; `answer` rejects if the link ends first. */
  request(body: FrameBody): { id: bigint; answer: Promise<FrameBody> } {
    const id = this.#nextId;
    this.#nextId += 1n;
    const pending = deferred<FrameBody>();
    if (this.#closed) {
      pending.reject(linkLost());
      return { id, answer: pending.promise };
    }
    this.#pending.set(id, pending);
    const frame = create(FrameSchema, { id, body });
    this.#onFrame("sent");
    this.#outgoing.push(frame);
    return { id, answer: pending.promise };
  }

  /** Drops a pending request; a late response to it is ignored. */
  removePending(id: bigint): void {
    this.#pending.delete(id);
  }

  /** Closes the stream and rejects all pending requests. */
  close(): void {
    this.#terminate();
    this.#outgoing.close();
  }

  async #read(incoming: AsyncIterable<Frame>): Promise<void> {
    try {
      for await (const frame of incoming) {
        this.#onFrame("received");
        this.#settlePending(frame);
      }
    } catch {
      // A stream error ends the link; pending requests are rejected below.
    } finally {
      this.#terminate();
      this.#outgoing.close();
    }
  }

  #settlePending(frame: Frame): void {
    const pending = this.#pending.get(frame.id);
    this.#pending.delete(frame.id);
    if (frame.body.case === undefined || frame.body.case === "failure") {
      pending?.reject(
        new RouterError("peer_unreachable", "the peer could not answer"),
      );
      return;
    }
    pending?.resolve(frame.body);
  }

  #terminate(): void {
    this.#closed = true;
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    pending.forEach((entry) => entry.reject(linkLost()));
  }
}

function linkLost(): RouterError {
  return new RouterError("peer_unreachable", "the link to the peer ended");
}
