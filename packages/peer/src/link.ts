import { create } from "@bufbuild/protobuf";
import { AsyncQueue, type Deferred, deferred } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import {
  type Frame,
  FrameSchema,
} from "./generated/limpetshed/peer/v1/peer_pb.ts";
import type { FrameBody } from "./messages.ts";

/** Opens the stream of a link: frames out, frames in. */
export type LinkOpener = (
  outgoing: AsyncIterable<Frame>,
) => AsyncIterable<Frame>;

/** Counts frames. */
export type FrameCounter = (direction: "sent" | "received") => void;

/** One kept stream to a peer; answers are matched to requests by id. */
export class Link {
  readonly #outgoing = new AsyncQueue<Frame>();
  readonly #pending = new Map<bigint, Deferred<FrameBody>>();
  readonly #onFrame: FrameCounter;
  #nextId = 1n;
  #closed = false;
  /** Settles when the link has ended. */
  readonly ended: Promise<void>;

  constructor({ open, onFrame }: { open: LinkOpener; onFrame: FrameCounter }) {
    this.#onFrame = onFrame;
    this.ended = this.#read(open(this.#outgoing));
  }

  /** Sends a request; resolves to its answer, rejects when the link ends. */
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

  /** Forgets a request whose answer is no longer wanted. */
  removePending(id: bigint): void {
    this.#pending.delete(id);
  }

  /** Ends the link. */
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
      // A broken stream ends the link; requests are rejected below.
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
