import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import { type LoadSums, SMALL_FLEET_NODES } from "./load_sums.ts";

/** Options of {@linkcode LoadSumExchange}. */
export interface LoadSumExchangeOptions {
  clock: Clock;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  transport: PeerTransport;
  handlers: PeerHandlers;
  loadSums: LoadSums;
  /**
   * Whether this node has open admissions. Without any it needs no sums: the
   * first request is admitted whatever the mean.
   */
  hasOpenAdmissions: () => boolean;
}

const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 400;
/** A node's sums up to this age are not refreshed. */
const FRESH_MAX_AGE_MS = 400;

/**
 * In a small fleet, refreshes the load sums of peers while there are open
 * admissions. In a larger one a single node's sum has little effect on the
 * mean, and heartbeats suffice.
 */
export class LoadSumExchange {
  readonly #options: LoadSumExchangeOptions;
  #exchangeLoop: RepeatingTask | undefined;

  constructor(options: LoadSumExchangeOptions) {
    this.#options = options;
    options.handlers.on("loadSumsRequest", (req) => this.#onRequest(req));
  }

  /** Starts periodic exchanges. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#exchangeLoop = repeat(clock, () => this.#exchangeWithStalest(), {
      intervalMs: EXCHANGE_INTERVAL_MS,
      onError: (err) => logger.debug({ err }, "failed to exchange load sums"),
    });
  }

  /** Stops periodic exchanges. */
  async close(): Promise<void> {
    await this.#exchangeLoop?.close();
  }

  async #exchangeWithStalest(): Promise<void> {
    const { membership, owners, transport, loadSums, hasOpenAdmissions } =
      this.#options;
    const { id, region } = membership.self;
    const peers = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    if (peers.length >= SMALL_FLEET_NODES || !hasOpenAdmissions()) {
      return;
    }
    const stalest = loadSums.findStalestNode(peers);
    if (stalest === undefined || stalest.ageMs < FRESH_MAX_AGE_MS) {
      return;
    }
    const address = membership.node(stalest.nodeId)?.address ?? "";
    const res = await transport.call(address, "loadSumsRequest", {
      message: create(peerpb.LoadSumsRequestSchema, {
        loadSums: loadSums.collectSums(0),
      }),
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    loadSums.mergeSums(res.loadSums);
  }

  #onRequest(req: peerpb.LoadSumsRequest): peerpb.LoadSumsResponse {
    const { loadSums } = this.#options;
    loadSums.mergeSums(req.loadSums);
    return create(peerpb.LoadSumsResponseSchema, {
      loadSums: loadSums.collectSums(0),
    });
  }
}
