import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { type Clock, sleep } from "@limpetshed/base";
import {
  type ChunkReader,
  type ConfigReplica,
  contentDigest,
  decodeHead,
  encodeHead,
  HEAD_KEY,
  type PatchRecord,
} from "@limpetshed/config";
import { rendezvousRank, type Rng } from "@limpetshed/hashing";
import type { HeartbeatContributor, Membership } from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { StoreClient } from "@limpetshed/store";

/** Options of {@linkcode ConfigSync}. */
export interface ConfigSyncOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  replica: ConfigReplica;
  store: StoreClient;
  membership: Membership;
  transport: PeerTransport;
  handlers: PeerHandlers;
  /** Number of nodes per region that watch the store. */
  watchersPerRegion?: number;
}

/** Configuration version of one node. */
export interface NodeConfigVersion {
  nodeId: string;
  /** Active version; undefined if the node did not answer. */
  version: number | undefined;
}

const FETCH_TIMEOUT_MS = 2_000;
const CHUNKS_PER_FETCH = 32;
const GOSSIP_FANOUT = 3;
const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 30_000;
const WATCHER_CHECK_INTERVAL_MS = 1_000;
/** Sent as `haveVersion` to get nothing but a peer's version. */
const MAX_VERSION = (1n << 53n) - 1n;

/**
 * Keeps this node's configuration up to date. A few nodes per region watch the
 * store. Every heartbeat carries the sender's version, and a receiver with an
 * older version fetches the missing patches from the sender.
 */
export class ConfigSync implements HeartbeatContributor {
  readonly #options: Required<ConfigSyncOptions>;
  readonly #stop = new AbortController();
  #watchLoopDone: Promise<void> | undefined;
  #fetching = false;
  #synced = false;

  constructor(options: ConfigSyncOptions) {
    this.#options = { watchersPerRegion: 2, ...options };
    const { handlers, membership, replica } = this.#options;
    handlers.on("configFetchRequest", (req) => this.#onConfigFetch(req));
    membership.addHeartbeatContributor(this);
    replica.onChange(() => membership.gossip(GOSSIP_FANOUT));
  }

  /** Whether the store or a peer has confirmed or delivered a version. */
  get synced(): boolean {
    return this.#synced;
  }

  /** Reads the store once and starts the watch loop. */
  async start(): Promise<void> {
    await this.#refreshFromStore();
    this.#watchLoopDone = this.#watchLoop();
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    heartbeat.configVersion = BigInt(this.#options.replica.snapshot.version);
  }

  readFrom(heartbeat: peerpb.Heartbeat): void {
    if (heartbeat.sender !== undefined) {
      this.onPeerVersion(
        heartbeat.sender.address,
        Number(heartbeat.configVersion),
      );
    }
  }

  /** Compares a peer's version with the active one; fetches it if newer. */
  onPeerVersion(address: string, version: number): void {
    if (version === this.#options.replica.snapshot.version && version > 0) {
      this.#synced = true;
    }
    if (version > this.#options.replica.snapshot.version && !this.#fetching) {
      this.#fetching = true;
      void this.#fetchFromPeer(address).finally(() => {
        this.#fetching = false;
      });
    }
  }

  /** Queries the active version of every node that is not known to be dead. */
  async status(): Promise<NodeConfigVersion[]> {
    const { membership, replica } = this.#options;
    const nodes = membership.nodes().filter((view) => view.state !== "dead");
    return await Promise.all(nodes.map(async (view) => {
      if (view.id === membership.self.id) {
        return { nodeId: view.id, version: replica.snapshot.version };
      }
      const version = await this.#queryVersion(view.address);
      return { nodeId: view.id, version };
    }));
  }

  /** Stops the watch loop. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#watchLoopDone;
  }

  async #queryVersion(address: string): Promise<number | undefined> {
    try {
      const res = await this.#call(address, { haveVersion: MAX_VERSION });
      return Number(res.version);
    } catch {
      return undefined;
    }
  }

  async #refreshFromStore(): Promise<boolean> {
    try {
      await this.#options.replica.refresh();
      this.#synced = true;
      return true;
    } catch (err) {
      this.#options.logger.warn(
        { err },
        "failed to read the configuration from the store",
      );
      return false;
    }
  }

  /** Watches while this node is a watcher or not synced; retries with backoff. */
  async #watchLoop(): Promise<void> {
    const { clock, rng } = this.#options;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    while (!this.#stop.signal.aborted) {
      const succeeded = this.#isWatcher() || !this.#synced
        ? await this.#watchOnce()
        : true;
      delayMs = succeeded
        ? WATCHER_CHECK_INTERVAL_MS
        : Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
      await sleep(clock, delayMs * rng.jitter(), { signal: this.#stop.signal });
    }
  }

  /**
   * Runs one watch. Returns false if the retry delay must grow: the store did
   * not answer, or the watch failed within `MAX_RETRY_DELAY_MS`.
   */
  async #watchOnce(): Promise<boolean> {
    const { store, replica, logger, clock } = this.#options;
    const watchAbort = new AbortController();
    const stopWatch = () => watchAbort.abort();
    this.#stop.signal.addEventListener("abort", stopWatch, { once: true });
    const watcherCheck = this.#abortWhenNotWatcher(watchAbort);
    const startedAtMs = clock.monotonicMs();
    try {
      let refreshed = Promise.resolve(false);
      const changes = store.watch("config_watch", HEAD_KEY, {
        signal: watchAbort.signal,
        onOpen: () => {
          refreshed = this.#refreshFromStore();
        },
      });
      for await (const change of changes) {
        if (change.value !== undefined) {
          await replica.onHeadChange(
            Buffer.from(change.value).toString("utf8"),
          );
        }
      }
      return await refreshed;
    } catch (err) {
      logger.warn({ err }, "configuration watch failed");
      return clock.monotonicMs() - startedAtMs > MAX_RETRY_DELAY_MS;
    } finally {
      this.#stop.signal.removeEventListener("abort", stopWatch);
      watchAbort.abort();
      await watcherCheck;
    }
  }

  async #abortWhenNotWatcher(watchAbort: AbortController): Promise<void> {
    const { clock } = this.#options;
    while (!watchAbort.signal.aborted) {
      await sleep(clock, WATCHER_CHECK_INTERVAL_MS, {
        signal: watchAbort.signal,
      });
      if (this.#synced && !this.#isWatcher()) {
        watchAbort.abort();
      }
    }
  }

  #isWatcher(): boolean {
    const { membership, watchersPerRegion } = this.#options;
    const { region, id } = membership.self;
    const ranked = rendezvousRank(
      "config-watch",
      membership.eligibleNodeIds(region),
    );
    return ranked.slice(0, watchersPerRegion).includes(id);
  }

  async #fetchFromPeer(address: string): Promise<void> {
    const { logger } = this.#options;
    try {
      await this.#fetchMissingVersions(address);
      this.#synced = true;
    } catch (err) {
      logger.warn({ err, peer: address }, "failed to fetch the configuration");
    }
  }

  async #fetchMissingVersions(address: string): Promise<void> {
    const { replica, logger } = this.#options;
    const haveVersion = BigInt(replica.snapshot.version);
    const res = await this.#call(address, { haveVersion });
    if (res.records.length === 0) {
      await this.#activateHead(address, res.head);
      return;
    }
    try {
      replica.applyRecords(
        res.records.map((text) => JSON.parse(text) as PatchRecord),
      );
    } catch (err) {
      logger.error(
        { err, peer: address },
        "patch records do not apply, fetching the head instead",
      );
      const headResponse = await this.#call(address, {
        haveVersion,
        whole: true,
      });
      await this.#activateHead(address, headResponse.head);
    }
  }

  async #activateHead(address: string, head: string): Promise<void> {
    if (head !== "") {
      const readChunks: ChunkReader = (digests) =>
        this.#fetchChunks(address, digests);
      await this.#options.replica.activateHead(decodeHead(head), readChunks);
    }
  }

  async #fetchChunks(
    address: string,
    digests: readonly string[],
  ): Promise<Map<string, Uint8Array>> {
    const found = new Map<string, Uint8Array>();
    for (let offset = 0; offset < digests.length; offset += CHUNKS_PER_FETCH) {
      const wantDigests = digests.slice(offset, offset + CHUNKS_PER_FETCH);
      const res = await this.#call(address, { wantDigests });
      for (const chunk of res.chunks) {
        found.set(contentDigest(chunk), chunk);
      }
    }
    return found;
  }

  async #call(
    address: string,
    req: { haveVersion?: bigint; wantDigests?: string[]; whole?: boolean },
  ): Promise<peerpb.ConfigFetchResponse> {
    const message = create(peerpb.ConfigFetchRequestSchema, req);
    return await this.#options.transport.call(address, "configFetchRequest", {
      message,
      timeoutMs: FETCH_TIMEOUT_MS,
    });
  }

  #onConfigFetch(req: peerpb.ConfigFetchRequest): peerpb.ConfigFetchResponse {
    const { replica } = this.#options;
    const { snapshot } = replica;
    const version = BigInt(snapshot.version);
    if (req.wantDigests.length > 0) {
      const chunks = replica.findChunks(
        req.wantDigests.slice(0, CHUNKS_PER_FETCH),
      );
      return create(peerpb.ConfigFetchResponseSchema, { version, chunks });
    }
    if (req.haveVersion >= version) {
      return create(peerpb.ConfigFetchResponseSchema, { version });
    }
    const records = req.whole
      ? undefined
      : replica.recordsAfter(Number(req.haveVersion));
    return create(
      peerpb.ConfigFetchResponseSchema,
      records === undefined
        ? { version, head: encodeHead(snapshot.head) }
        : { version, records: records.map((record) => JSON.stringify(record)) },
    );
  }
}
