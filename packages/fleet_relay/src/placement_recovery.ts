import { type Clock, sleep } from "@limpetshed/base";
import {
  type CachedPart,
  type Endpoint,
  recoverPrefixCache,
} from "@limpetshed/dispatch";
import {
  PeerClient,
  type PeerDirectory,
  PLACEMENTS_PATH,
} from "@limpetshed/fleet";
import { rendezvousFirst, type Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { OwnResponse, RelayNode } from "@limpetshed/relay";
import { decodeCachedParts, encodeCachedParts } from "./cached_parts.ts";

/** Options of {@linkcode PlacementRecovery}. */
export interface PlacementRecoveryOptions {
  clock: Clock;
  logger: Logger;
  rng: Rng;
  nodeId: string;
  directory: PeerDirectory;
  node: RelayNode;
  /** Whether the whole fleet starts for the first time, so that no endpoint
   * has cached a prompt part yet. */
  isFirstStart: boolean;
  /** Fetches the ids of the prompt parts that an endpoint reports as cached. */
  fetchCachedPartIds: (
    endpoint: Endpoint,
    options: {
      signal: AbortSignal;
      /** Called with the head of the endpoint's response. */
      onHead: (head: OwnResponse) => void;
    },
  ) => Promise<string[]>;
}

/** Poll interval while no endpoint with a cache is known; doubles with each poll up
 * to the maximum, since there may never be one. */
const FIRST_ENDPOINTS_POLL_MS = 30;
const MAX_ENDPOINTS_POLL_MS = 480;

/** After a start of this node, restores its records of the prompt parts that
 * each endpoint has cached, from another node or from the endpoints. */
export class PlacementRecovery {
  readonly #options: PlacementRecoveryOptions;
  readonly #abortController = new AbortController();
  readonly #client: PeerClient;
  #hasStarted = false;
  #isComplete = false;

  constructor(options: PlacementRecoveryOptions) {
    this.#options = options;
    this.#client = new PeerClient({ clock: options.clock });
    this.#isComplete = options.isFirstStart;
    this.#hasStarted = options.isFirstStart;
  }

  /** Placements for starting nodes, as a flat list; empty until this node's own
   * recovery is complete. */
  encodedPlacements(): string[] {
    return this.#isComplete
      ? encodeCachedParts(this.#options.node.prefixCacheIndex.snapshot())
      : [];
  }

  /** Starts the recovery on the first call; later calls have no effect. To be
   * called when a configuration is known. */
  start(): void {
    if (!this.#hasStarted) {
      this.#hasStarted = true;
      void this.#run();
    }
  }

  /** Aborts the recovery and closes the connection to the peer. */
  close(): void {
    this.#abortController.abort();
    this.#client.close();
  }

  async #run(): Promise<void> {
    const { clock, logger, node, fetchCachedPartIds } = this.#options;
    const { signal } = this.#abortController;
    await this.#waitForEndpoints();
    const result = await recoverPrefixCache({
      clock,
      signal,
      cacheIndex: node.prefixCacheIndex,
      fetchFromPeer: () => this.#fetchFromPeer(),
      assignedEndpoints: () => this.#assignedEndpoints(),
      // An endpoint at its limit starts with no known parts.
      fetchPartIds: (endpoint) =>
        node.ownRequests.tryTake(endpoint)
          ? fetchCachedPartIds(endpoint, {
            signal,
            onHead: (head) => node.ownRequests.recordResponse(endpoint, head),
          })
          : Promise.resolve([]),
      onEndpointFailed: (endpoint) => node.ownRequests.recordFailure(endpoint),
    });
    this.#client.close();
    this.#isComplete = true;
    logger.info({ event: "placements_recovered", ...result });
  }

  /** Waits for endpoints with a cache; after an outage of the store they
   * register again within seconds. */
  async #waitForEndpoints(): Promise<void> {
    const { signal } = this.#abortController;
    let pollMs = FIRST_ENDPOINTS_POLL_MS;
    do {
      await sleep(this.#options.clock, pollMs, { signal });
      pollMs = Math.min(MAX_ENDPOINTS_POLL_MS, 2 * pollMs);
    } while (this.#cachingEndpoints().length === 0 && !signal.aborted);
  }

  async #fetchFromPeer(): Promise<CachedPart[]> {
    const { directory, rng } = this.#options;
    const address = rng.pick(directory.peers())?.callAddress;
    if (address === undefined) {
      throw new Error("no peer is known");
    }
    const path = PLACEMENTS_PATH;
    const { signal } = this.#abortController;
    const { value } = await this.#client.getJson(address, { path, signal });
    const texts = Array.isArray(value) ? value : [];
    return texts.every((text) => typeof text === "string")
      ? decodeCachedParts(texts)
      : [];
  }

  /** Usable endpoints of services with a prompt cache. */
  #cachingEndpoints(): Endpoint[] {
    const { config, registry } = this.#options.node;
    return [...config.table?.services() ?? []]
      .filter(({ cacheTokens }) => cacheTokens > 0)
      .flatMap(({ name }) => registry.usable(name));
  }

  /** Endpoints with a cache whose cached parts this node reads on behalf of the
   * fleet. */
  #assignedEndpoints(): Endpoint[] {
    const { directory, nodeId } = this.#options;
    const ids = directory.nodeIds();
    return this.#cachingEndpoints()
      .filter(({ key }) => rendezvousFirst(key, ids) === nodeId);
  }
}
