import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type Clock, sleep, withTimeout } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import { FrameSchema } from "./generated/limpetshed/peer/v1/peer_pb.ts";
import type { FrameBody } from "./messages.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import { PeerTransport } from "./peer_transport.ts";

/** In-memory peer network between the nodes of one test process. */
export class FakePeerNetwork {
  readonly #clock: Clock;
  readonly #nodes = new Map<string, PeerHandlers>();
  readonly #gates = new Map<string, () => Promise<void>>();
  /** `from|to` address pairs whose messages are dropped. */
  readonly blockedPairs = new Set<string>();
  /** Returns the one-way delay of each message, in milliseconds. */
  delayMs: () => number = () => 1;
  /** Total frames and encoded bytes sent, requests and responses. */
  framesSent = 0;
  bytesSent = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Adds or replaces a node; `gate` resolves once the node is not paused. */
  attach(
    address: string,
    handlers: PeerHandlers,
    { gate = () => Promise.resolve() }: { gate?: () => Promise<void> } = {},
  ): void {
    this.#nodes.set(address, handlers);
    this.#gates.set(address, gate);
  }

  /** Removes a node to simulate a crash. */
  detach(address: string): void {
    this.#nodes.delete(address);
  }

  /** Creates a transport that sends from `address`. */
  transport(address: string): PeerTransport {
    return new FakePeerTransport(this, { from: address, clock: this.#clock });
  }

  /** Delivers a request frame and returns the response frame. */
  async exchange(
    from: string,
    to: string,
    body: FrameBody,
  ): Promise<FrameBody> {
    await this.#gates.get(from)?.();
    const request = this.#roundTripEncode(body);
    await sleep(this.#clock, this.delayMs());
    const handlers = this.#nodes.get(to);
    if (handlers === undefined) {
      throw new RouterError("peer_unreachable", "connection refused");
    }
    await this.#awaitDelivery(from, to);
    const response = this.#roundTripEncode(await handlers.answer(request));
    await sleep(this.#clock, this.delayMs());
    await this.#awaitDelivery(to, from);
    return response;
  }

  /** Waits while the receiver is paused; never resolves for a dropped message. */
  async #awaitDelivery(from: string, to: string): Promise<void> {
    if (this.blockedPairs.has(`${from}|${to}`) || !this.#nodes.has(from)) {
      await new Promise<never>(() => undefined);
    }
    await this.#gates.get(to)?.();
    if (!this.#nodes.has(to)) {
      await new Promise<never>(() => undefined);
    }
  }

  /** Encodes and decodes a frame, so that tests see what the wire carries. */
  #roundTripEncode(body: FrameBody): FrameBody {
    const bytesSent = toBinary(
      FrameSchema,
      create(FrameSchema, { id: 1n, body }),
    );
    this.framesSent += 1;
    this.bytesSent += bytesSent.length;
    const decoded = fromBinary(FrameSchema, bytesSent).body;
    if (decoded.case === undefined) {
      throw new RouterError("invalid_request", "empty frame");
    }
    return decoded;
  }
}

class FakePeerTransport extends PeerTransport {
  readonly #network: FakePeerNetwork;
  readonly #from: string;
  readonly #clock: Clock;

  constructor(
    network: FakePeerNetwork,
    { from, clock }: { from: string; clock: Clock },
  ) {
    super();
    this.#network = network;
    this.#from = from;
    this.#clock = clock;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  protected async exchange(
    address: string,
    body: FrameBody,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<FrameBody> {
    const response = this.#network.exchange(this.#from, address, body);
    return await withTimeout(this.#clock, response, {
      ms: timeoutMs,
      onTimeout: () =>
        new RouterError("peer_unreachable", "the peer did not answer"),
    });
  }
}
