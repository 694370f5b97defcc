import { type Clock, sleep } from "@limpetshed/base";
import {
  type Endpoint,
  type HeldPart,
  recoverHolders,
} from "@limpetshed/dispatch";
import {
  PeerClient,
  type PeerDirectory,
  PLACEMENTS_PATH,
} from "@limpetshed/fleet";
import { rendezvousFirst, type Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
import { flatParts, heldParts } from "./held_parts.ts";

/** Options of {@linkcode PlacementRecovery}. */
export interface PlacementRecoveryOptions {
  clock: Clock;
  logger: Logger;
  rng: Rng;
  nodeId: string;
  directory: PeerDirectory;
  node: RelayNode;
  /** Whether the whole fleet starts for the first time: nothing is held. */
  isFirstStart: boolean;
  /** Ids of the parts of prompts that an endpoint says it holds. */
  listHeldParts: (
    endpoint: Endpoint,
    options: { signal: AbortSignal },
  ) => Promise<string[]>;
}

/** Pause between looks for endpoints with a cache. */
const ENDPOINTS_POLL_MS = 30;

/** Learns after a start which endpoints hold which parts of prompts. */
export class PlacementRecovery {
  readonly #options: PlacementRecoveryOptions;
  readonly #stop = new AbortController();
  readonly #client: PeerClient;
  #hasBegun = false;
  #isDone = false;

  constructor(options: PlacementRecoveryOptions) {
    this.#options = options;
    this.#client = new PeerClient({ clock: options.clock });
    this.#isDone = options.isFirstStart;
    this.#hasBegun = options.isFirstStart;
  }

  /** What this node tells nodes that start: nothing before it knows itself. */
  told(): string[] {
    return this.#isDone ? flatParts(this.#options.node.holders.snapshot()) : [];
  }

  /** Begins, once, when a configuration is known. */
  begin(): void {
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      void this.#run();
    }
  }

  /** Stops. */
  close(): void {
    this.#stop.abort();
    this.#client.close();
  }

  async #run(): Promise<void> {
    const { clock, logger, node, listHeldParts } = this.#options;
    const { signal } = this.#stop;
    await this.#endpointsKnown();
    const recovery = await recoverHolders({
      clock,
      signal,
      holders: node.holders,
      askPeer: () => this.#askPeer(),
      ownEndpoints: () => this.#ownEndpoints(),
      askEndpoint: (endpoint) => listHeldParts(endpoint, { signal }),
    });
    this.#client.close();
    this.#isDone = true;
    logger.info({ event: "placements_recovered", ...recovery });
  }

  /** Waits for endpoints with a cache; after an outage of the store they
   * enter themselves again within seconds. */
  async #endpointsKnown(): Promise<void> {
    const { signal } = this.#stop;
    do {
      await sleep(this.#options.clock, ENDPOINTS_POLL_MS, { signal });
    } while (this.#endpoints().length === 0 && !signal.aborted);
  }

  async #askPeer(): Promise<HeldPart[]> {
    const { directory, rng } = this.#options;
    const address = rng.pick(directory.all())?.calls;
    if (address === undefined) {
      throw new Error("no other node is known");
    }
    const path = PLACEMENTS_PATH;
    const { signal } = this.#stop;
    const told = await this.#client.getJson(address, { path, signal });
    return Array.isArray(told) ? heldParts(told.map(String)) : [];
  }

  /** Endpoints with a cache. */
  #endpoints(): Endpoint[] {
    const { config, registry } = this.#options.node;
    return [...config.table?.services() ?? []]
      .filter(({ cacheTokens }) => cacheTokens > 0)
      .flatMap(({ name }) => registry.usable(name));
  }

  /** Endpoints with a cache whose list this node reads for the fleet. */
  #ownEndpoints(): Endpoint[] {
    const { directory, nodeId } = this.#options;
    const ids = directory.ids();
    return this.#endpoints()
      .filter(({ key }) => rendezvousFirst(key, ids) === nodeId);
  }
}
