import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";

/** Options of {@linkcode Prober}. */
export interface ProberOptions {
  clock: Clock;
  rng: Rng;
  transport: PeerTransport;
  handlers: PeerHandlers;
  table: NodeTable;
  /** Longest wait for the answer to a heartbeat, in milliseconds. */
  timeoutMs: number;
  /** Makes the heartbeat to send. */
  makeHeartbeat: () => peerpb.Heartbeat;
  /** Reads the heartbeat that answered. */
  absorb: (heartbeat: peerpb.Heartbeat) => void;
}

/**
 * Milliseconds without an answered heartbeat after which a node must not act
 * as an owner; shorter than the time until peers hold it dead.
 */
export const OUT_OF_CONTACT_MS = 2_500;
/** Peers asked to probe a node that did not answer. */
const INDIRECT_PROBES = 2;

/** Sends heartbeats and suspects nodes that neither it nor others reach. */
export class Prober {
  readonly #options: ProberOptions;
  #lastAckMs: number;
  #contactGaps = 0;

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#lastAckMs = options.clock.monotonicMs();
    options.handlers.on("probeRequest", (req) => this.#onProbe(req));
  }

  /** Milliseconds since the last heartbeat that was answered was sent. */
  get lastAckAgeMs(): number {
    return this.#options.clock.monotonicMs() - this.#lastAckMs;
  }

  /** Times that two answered heartbeats lay too far apart. */
  get contactGaps(): number {
    return this.#contactGaps;
  }

  /** Sends a heartbeat; suspects the node when nobody reaches it. */
  async probe(view: Readonly<NodeView>): Promise<void> {
    if (await this.ping(view)) {
      return;
    }
    if (view.state === "unheard" || view.state === "dead") {
      return;
    }
    if (view.state === "leaving") {
      this.#options.table.setState(view.id, "dead");
      return;
    }
    if (!await this.#probeThroughOthers(view)) {
      this.#suspect(view.id);
    }
  }

  /** Sends a heartbeat; returns whether it was answered. */
  async ping(view: Readonly<NodeView>): Promise<boolean> {
    const { transport, timeoutMs, clock, makeHeartbeat, absorb } =
      this.#options;
    const message = makeHeartbeat();
    const sentAtMs = clock.monotonicMs();
    try {
      const answer = await transport.call(view.address, "heartbeat", {
        message,
        timeoutMs,
      });
      this.#noteAnswered(sentAtMs);
      absorb(answer);
      return true;
    } catch {
      return false;
    }
  }

  #noteAnswered(sentAtMs: number): void {
    if (sentAtMs - this.#lastAckMs > OUT_OF_CONTACT_MS) {
      this.#contactGaps += 1;
    }
    this.#lastAckMs = Math.max(this.#lastAckMs, sentAtMs);
  }

  async #probeThroughOthers(view: Readonly<NodeView>): Promise<boolean> {
    const { transport, timeoutMs, rng, table } = this.#options;
    const helpers = rng.shuffle(
      table.others().filter((other) =>
        other.id !== view.id && other.state === "alive" &&
        other.region === view.region
      ),
    ).slice(0, INDIRECT_PROBES);
    const answers = await Promise.all(helpers.map(async (helper) => {
      try {
        const answer = await transport.call(helper.address, "probeRequest", {
          message: create(peerpb.ProbeRequestSchema, { targetId: view.id }),
          timeoutMs: 2 * timeoutMs,
        });
        return answer.reachable;
      } catch {
        return false;
      }
    }));
    return answers.includes(true);
  }

  #suspect(id: string): void {
    const { table } = this.#options;
    if (table.get(id)?.state === "alive") {
      table.setState(id, "suspect");
    }
  }

  async #onProbe(req: peerpb.ProbeRequest): Promise<peerpb.ProbeResponse> {
    const view = this.#options.table.get(req.targetId);
    const reachable = view !== undefined && await this.ping(view);
    return create(peerpb.ProbeResponseSchema, { reachable });
  }
}
