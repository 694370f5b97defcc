import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { type Clock, sleep } from "@limpetshed/base";
import {
  type ChunkReader,
  type ConfigKeeper,
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

/** Options of {@linkcode ConfigSpread}. */
export interface ConfigSpreadOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  keeper: ConfigKeeper;
  store: StoreClient;
  membership: Membership;
  transport: PeerTransport;
  handlers: PeerHandlers;
  /** Nodes per region that watch the store. */
  watchersPerRegion?: number;
}

/** Confirmation of one node. */
export interface VersionStatus {
  nodeId: string;
  /** Version in force there; undefined when it did not answer. */
  version: number | undefined;
}

const FETCH_TIMEOUT_MS = 2_000;
const CHUNKS_PER_FETCH = 32;
const PUSH_FANOUT = 3;
const RETRY_FIRST_MS = 500;
const RETRY_MAX_MS = 30_000;
const ROLE_CHECK_MS = 1_000;
/** Asks for the peer's version only. */
const NEWEST = (1n << 53n) - 1n;

/**
 * Keeps this node's configuration current. A few nodes per region watch the
 * store; every heartbeat carries the version, and whoever is behind fetches
 * the patches that are missing from the peer that told of them.
 */
export class ConfigSpread implements HeartbeatContributor {
  readonly #options: Required<ConfigSpreadOptions>;
  readonly #stop = new AbortController();
  #watching: Promise<void> | undefined;
  #fetching = false;
  #synced = false;

  constructor(options: ConfigSpreadOptions) {
    this.#options = { watchersPerRegion: 2, ...options };
    const { handlers, membership, keeper } = this.#options;
    handlers.on("configFetchRequest", (req) => this.#onFetch(req));
    membership.addHeartbeatContributor(this);
    keeper.onChange(() => membership.gossip(PUSH_FANOUT));
  }

  /** Whether the store or a peer has told this node a version. */
  get synced(): boolean {
    return this.#synced;
  }

  /** Reads the store once and starts watching if it is this node's turn. */
  async start(): Promise<void> {
    await this.#refresh();
    this.#watching = this.#watchWhileChosen();
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    heartbeat.configVersion = BigInt(this.#options.keeper.snapshot.version);
  }

  readFrom(heartbeat: peerpb.Heartbeat): void {
    if (heartbeat.sender !== undefined) {
      this.heard(heartbeat.sender.address, Number(heartbeat.configVersion));
    }
  }

  /** A peer told its version: fetch what is missing. */
  heard(address: string, version: number): void {
    if (version === this.#options.keeper.snapshot.version && version > 0) {
      this.#synced = true;
    }
    if (version > this.#options.keeper.snapshot.version && !this.#fetching) {
      this.#fetching = true;
      void this.#fetch(address).finally(() => {
        this.#fetching = false;
      });
    }
  }

  /** Asks every node of the fleet which version is in force there. */
  async status(): Promise<VersionStatus[]> {
    const { membership, keeper } = this.#options;
    const nodes = membership.nodes().filter((view) => view.state !== "dead");
    return await Promise.all(nodes.map(async (view) => {
      if (view.id === membership.self.id) {
        return { nodeId: view.id, version: keeper.snapshot.version };
      }
      const version = await this.#askVersion(view.address);
      return { nodeId: view.id, version };
    }));
  }

  /** Stops watching. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#watching;
  }

  async #askVersion(address: string): Promise<number | undefined> {
    try {
      const res = await this.#call(address, { haveVersion: NEWEST });
      return Number(res.version);
    } catch {
      return undefined;
    }
  }

  async #refresh(): Promise<boolean> {
    try {
      await this.#options.keeper.refresh();
      this.#synced = true;
      return true;
    } catch (err) {
      this.#options.logger.warn(
        { err },
        "configuration not read from the store",
      );
      return false;
    }
  }

  /** Watches while chosen; reads anew whenever the watch broke. */
  async #watchWhileChosen(): Promise<void> {
    const { clock, rng } = this.#options;
    let pauseMs = RETRY_FIRST_MS;
    while (!this.#stop.signal.aborted) {
      const useful = this.#isWatcher() || !this.#synced
        ? await this.#watchOnce()
        : true;
      pauseMs = useful ? ROLE_CHECK_MS : Math.min(RETRY_MAX_MS, 2 * pauseMs);
      await sleep(clock, pauseMs * rng.jitter(), { signal: this.#stop.signal });
    }
  }

  /** Returns whether the store answered at all. */
  async #watchOnce(): Promise<boolean> {
    const { store, keeper, logger, clock } = this.#options;
    const role = new AbortController();
    const stopWatch = () => role.abort();
    this.#stop.signal.addEventListener("abort", stopWatch, { once: true });
    const roleCheck = this.#abortWhenNotChosen(role);
    const startedMs = clock.monotonicMs();
    try {
      let reading = Promise.resolve(false);
      const changes = store.watch("config_watch", HEAD_KEY, {
        signal: role.signal,
        onOpen: () => {
          reading = this.#refresh();
        },
      });
      for await (const change of changes) {
        if (change.value !== undefined) {
          await keeper.onWatchedHead(
            Buffer.from(change.value).toString("utf8"),
          );
        }
      }
      return await reading;
    } catch (err) {
      logger.warn({ err }, "watch of the configuration broke");
      return clock.monotonicMs() - startedMs > RETRY_MAX_MS;
    } finally {
      this.#stop.signal.removeEventListener("abort", stopWatch);
      role.abort();
      await roleCheck;
    }
  }

  async #abortWhenNotChosen(role: AbortController): Promise<void> {
    const { clock } = this.#options;
    while (!role.signal.aborted) {
      await sleep(clock, ROLE_CHECK_MS, { signal: role.signal });
      if (this.#synced && !this.#isWatcher()) {
        role.abort();
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

  async #fetch(address: string): Promise<void> {
    const { logger } = this.#options;
    try {
      await this.#fetchRecords(address);
      this.#synced = true;
    } catch (err) {
      logger.warn({ err, peer: address }, "configuration not fetched");
    }
  }

  async #fetchRecords(address: string): Promise<void> {
    const { keeper, logger } = this.#options;
    const haveVersion = BigInt(keeper.snapshot.version);
    const res = await this.#call(address, { haveVersion });
    if (res.records.length === 0) {
      await this.#adoptHead(address, res.head);
      return;
    }
    try {
      keeper.adoptRecords(
        res.records.map((text) => JSON.parse(text) as PatchRecord),
      );
    } catch (err) {
      logger.error({ err, peer: address }, "patch records do not fit");
      const whole = await this.#call(address, { haveVersion, whole: true });
      await this.#adoptHead(address, whole.head);
    }
  }

  async #adoptHead(address: string, head: string): Promise<void> {
    if (head !== "") {
      const readChunks: ChunkReader = (digests) =>
        this.#fetchChunks(address, digests);
      await this.#options.keeper.adoptHead(decodeHead(head), readChunks);
    }
  }

  async #fetchChunks(
    address: string,
    digests: readonly string[],
  ): Promise<Map<string, Uint8Array>> {
    const found = new Map<string, Uint8Array>();
    for (let at = 0; at < digests.length; at += CHUNKS_PER_FETCH) {
      const wantDigests = digests.slice(at, at + CHUNKS_PER_FETCH);
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

  #onFetch(req: peerpb.ConfigFetchRequest): peerpb.ConfigFetchResponse {
    const { keeper } = this.#options;
    const { snapshot } = keeper;
    const version = BigInt(snapshot.version);
    if (req.wantDigests.length > 0) {
      const chunks = keeper.ownChunks(
        req.wantDigests.slice(0, CHUNKS_PER_FETCH),
      );
      return create(peerpb.ConfigFetchResponseSchema, { version, chunks });
    }
    if (req.haveVersion >= version) {
      return create(peerpb.ConfigFetchResponseSchema, { version });
    }
    const records = req.whole
      ? undefined
      : keeper.recordsAfter(Number(req.haveVersion));
    return create(
      peerpb.ConfigFetchResponseSchema,
      records === undefined
        ? { version, head: encodeHead(snapshot.head) }
        : { version, records: records.map((record) => JSON.stringify(record)) },
    );
  }
}
