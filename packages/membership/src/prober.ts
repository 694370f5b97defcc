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
  /** Timeout of a heartbeat call, in milliseconds. */
  timeoutMs: number;
  /** Creates the heartbeat to send. */
  makeHeartbeat: () => peerpb.Heartbeat;
  /** Processes the heartbeat received in response. */
  mergeHeartbeat: (heartbeat: peerpb.Heartbeat) => void;
}

/**
 * Milliseconds without an acknowledged heartbeat after which a node must not
 * act as an owner; shorter than the time until peers declare it dead.
 */
export const CONTACT_TIMEOUT_MS = 2_500;
/** Number of peers asked to probe a node that did not respond. */
const INDIRECT_PROBE_NODES = 2;

/** Sends heartbeats, and suspects nodes that no probe reaches. */
export class Prober {
  readonly #options: ProberOptions;
  #lastAckedSendMs: number;
  #ackGapCount = 0;

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#lastAckedSendMs = options.clock.monotonicMs();
    options.handlers.on("probeRequest", (req) => this.#onProbeRequest(req));
  }

  /** Milliseconds since the last acknowledged heartbeat was sent. */
  get lastAckAgeMs(): number {
    return this.#options.clock.monotonicMs() - this.#lastAckedSendMs;
  }

  /**
   * Number of gaps longer than `CONTACT_TIMEOUT_MS` between acknowledged
   * heartbeats.
   */
  get ackGapCount(): number {
    return this.#ackGapCount;
  }

  /** Sends a heartbeat; suspects the node if indirect probes fail as well. */
  async probe(view: Readonly<NodeView>): Promise<void> {
    if (await this.ping(view)) {
      return;
    }
    if (view.state === "unheard" || view.state === "dead") {
      return;
    }
    // A leaving node that does not respond is taken to have shut down.
    if (view.state === "leaving") {
      this.#options.table.setState(view.id, "dead");
      return;
    }
    if (!await this.#probeIndirectly(view)) {
      this.#markSuspect(view.id);
    }
  }

  /** Sends a heartbeat; returns whether it was acknowledged. */
  async ping(view: Readonly<NodeView>): Promise<boolean> {
    const { transport, timeoutMs, clock, makeHeartbeat, mergeHeartbeat } =
      this.#options;
    const message = makeHeartbeat();
    const sentAtMs = clock.monotonicMs();
    try {
      const res = await transport.call(view.address, "heartbeat", {
        message,
        timeoutMs,
      });
      this.#recordAck(sentAtMs);
      mergeHeartbeat(res);
      return true;
    } catch {
      return false;
    }
  }

  #recordAck(sentAtMs: number): void {
    if (sentAtMs - this.#lastAckedSendMs > CONTACT_TIMEOUT_MS) {
      this.#ackGapCount += 1;
    }
    this.#lastAckedSendMs = Math.max(this.#lastAckedSendMs, sentAtMs);
  }

  async #probeIndirectly(view: Readonly<NodeView>): Promise<boolean> {
    const { transport, timeoutMs, rng, table } = this.#options;
    const helpers = rng.shuffle(
      table.others().filter((other) =>
        other.id !== view.id && other.state === "alive" &&
        other.region === view.region
      ),
    ).slice(0, INDIRECT_PROBE_NODES);
    const results = await Promise.all(helpers.map(async (helper) => {
      try {
        const res = await transport.call(helper.address, "probeRequest", {
          message: create(peerpb.ProbeRequestSchema, { targetId: view.id }),
          timeoutMs: 2 * timeoutMs,
        });
        return res.reachable;
      } catch {
        return false;
      }
    }));
    return results.includes(true);
  }

  #markSuspect(id: string): void {
    const { table } = this.#options;
    if (table.get(id)?.state === "alive") {
      table.setState(id, "suspect");
    }
  }

  async #onProbeRequest(
    req: peerpb.ProbeRequest,
  ): Promise<peerpb.ProbeResponse> {
    const view = this.#options.table.get(req.targetId);
    const reachable = view !== undefined && await this.ping(view);
    return create(peerpb.ProbeResponseSchema, { reachable });
  }
}
