import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type Repeating } from "@limpetshed/base";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import { type LoadSums, SMALL_FLEET_NODES } from "./load_sums.ts";

/** Options of {@linkcode SumsExchange}. */
export interface SumsExchangeOptions {
  clock: Clock;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  transport: PeerTransport;
  handlers: PeerHandlers;
  sums: LoadSums;
  /** An owner without open work may admit one request whatever the mean. */
  hasWork: () => boolean;
}

const INTERVAL_MS = 200;
const TIMEOUT_MS = 400;
/** Sums younger than this need no exchange. */
const FRESH_MS = 400;

/**
 * In a small fleet, keeps every peer's load sums young while there is work.
 * In a larger one a single node's sum changes the mean little, and heartbeats
 * are enough.
 */
export class SumsExchange {
  readonly #options: SumsExchangeOptions;
  #rounds: Repeating | undefined;

  constructor(options: SumsExchangeOptions) {
    this.#options = options;
    options.handlers.on("loadSumsRequest", (req) => this.#onRequest(req));
  }

  /** Starts asking. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#rounds = repeat(clock, () => this.#ask(), {
      everyMs: INTERVAL_MS,
      onError: (err) => logger.debug({ err }, "load sums not exchanged"),
    });
  }

  /** Stops asking. */
  async close(): Promise<void> {
    await this.#rounds?.close();
  }

  async #ask(): Promise<void> {
    const { membership, owners, transport, sums, hasWork } = this.#options;
    const { id, region } = membership.self;
    const peers = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    if (peers.length >= SMALL_FLEET_NODES || !hasWork()) {
      return;
    }
    const oldest = sums.oldest(peers);
    if (oldest === undefined || oldest.ageMs < FRESH_MS) {
      return;
    }
    const address = membership.node(oldest.nodeId)?.address ?? "";
    const res = await transport.call(address, "loadSumsRequest", {
      message: create(peerpb.LoadSumsRequestSchema, {
        loadSums: sums.forMessage(0),
      }),
      timeoutMs: TIMEOUT_MS,
    });
    sums.absorbSums(res.loadSums);
  }

  #onRequest(req: peerpb.LoadSumsRequest): peerpb.LoadSumsResponse {
    const { sums } = this.#options;
    sums.absorbSums(req.loadSums);
    return create(peerpb.LoadSumsResponseSchema, {
      loadSums: sums.forMessage(0),
    });
  }
}
