import { Buffer } from "node:buffer";
import { type Clock, invariant } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import type { Logger, Metrics } from "@limpetshed/observe";
import type { StoreClient } from "@limpetshed/store";
import { applyPatch, replayRecord } from "./apply_patch.ts";
import { assembleSnapshot, type ChunkReader } from "./assemble_snapshot.ts";
import { ConfigStore, findPatchVersion } from "./config_store.ts";
import {
  type ConfigHead,
  contentDigest,
  decodeHead,
  headDigest,
  type PatchRecord,
} from "./config_head.ts";
import type { Json } from "./merge_patch.ts";
import { type ConfigSnapshot, emptySnapshot } from "./config_snapshot.ts";

const MAX_RECENT_RECORDS = 64;

/** A patch as an operator submits it. */
export interface PatchRequest {
  /** Version that the patch was written against. */
  expectedVersion: number;
  /** Identity of the patch; a repeat under the same id is not applied again. */
  id: string;
  author: string;
  patch: Json;
}

/** What became of an accepted patch. */
export interface PatchOutcome {
  version: number;
  /** The patch had been accepted before. */
  repeated: boolean;
}

/** Options of {@linkcode ConfigReplica}. */
export interface ConfigReplicaOptions {
  store: StoreClient;
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
}

/**
 * The configuration in force on this node, and the way to change it. The
 * version in force never goes down.
 */
export class ConfigReplica {
  readonly #options: ConfigReplicaOptions;
  readonly #store: ConfigStore;
  readonly #listeners: ((snapshot: ConfigSnapshot) => void)[] = [];
  #snapshot = emptySnapshot();
  /** Records of the latest versions, oldest first, without gaps. */
  #recentRecords: PatchRecord[] = [];

  constructor(options: ConfigReplicaOptions) {
    this.#options = options;
    this.#store = new ConfigStore(options);
  }

  /** The version in force here. */
  get snapshot(): ConfigSnapshot {
    return this.#snapshot;
  }

  /** Calls `listener` after every change of the version in force. */
  onChange(listener: (snapshot: ConfigSnapshot) => void): void {
    this.#listeners.push(listener);
  }

  /** Puts a version in force unless it is older than the present one. */
  activate(next: ConfigSnapshot, records: readonly PatchRecord[] = []): void {
    if (next.version <= this.#snapshot.version) {
      return;
    }
    const before = this.#snapshot.version;
    this.#snapshot = next;
    this.#retainRecords(records);
    invariant("config.version_never_down", next.version > before, {
      before,
      next: next.version,
    });
    this.#options.metrics.gauge("config.version", next.version);
    this.#options.logger.info({ version: next.version }, "configuration");
    this.#listeners.forEach((listener) => listener(next));
  }

  /** Accepted patches, newest first, at most `limit`. */
  async history(options: { limit?: number } = {}): Promise<PatchRecord[]> {
    return await this.#store.history(options);
  }

  /** Applies records received from a peer, as far as they follow. */
  applyRecords(records: readonly PatchRecord[]): void {
    let next = this.#snapshot;
    const applied: PatchRecord[] = [];
    for (const record of records) {
      if (record.version === next.version + 1) {
        next = replayRecord(next, record);
        applied.push(record);
      }
    }
    this.activate(next, applied);
  }

  /** Records after a version, or undefined if not all are held. */
  recordsAfter(version: number): PatchRecord[] | undefined {
    const records = this.#recentRecords.filter((record) =>
      record.version > version
    );
    const isComplete = records.length === this.#snapshot.version - version;
    return isComplete ? records : undefined;
  }

  /** Makes the version of `head` from chunks and puts it in force. */
  async activateHead(head: ConfigHead, readChunks: ChunkReader): Promise<void> {
    if (head.version > this.#snapshot.version) {
      const previous = this.#snapshot;
      this.activate(
        await assembleSnapshot(head, { known: previous, readChunks }),
      );
    }
  }

  /** Reads the store's version and puts it in force. */
  async refresh(): Promise<void> {
    const stored = await this.#store.readHead();
    await this.#catchUp(stored.head);
  }

  /** Takes a head that a watch delivered. */
  async onHeadChange(text: string): Promise<void> {
    await this.#catchUp(decodeHead(text));
  }

  /**
   * Submits a patch.
   *
   * @throws RouterError `config_version_stale` with the current version,
   *   `config_invalid` with every fault, `config_conflict` for a known id with
   *   another patch, `store_unavailable` when it was not accepted,
   *   `config_outcome_unknown` when that cannot be told.
   */
  async patch(req: PatchRequest): Promise<PatchOutcome> {
    const text = JSON.stringify(req.patch);
    const fingerprint = contentDigest(text);
    const stored = await this.#store.readHead();
    await this.#catchUp(stored.head);
    const repeated = findPatchVersion(stored.head, req.id, fingerprint);
    if (repeated !== undefined) {
      return { version: repeated, repeated: true };
    }
    this.#checkExpectedVersion(req, stored.head.version);
    const current = this.#snapshot;
    if (current.version !== stored.head.version) {
      throw new RouterError(
        "config_version_stale",
        "the configuration changed meanwhile",
        { details: { current_version: current.version } },
      );
    }
    const result = applyPatch(current, req.patch, {
      identity: { id: req.id, fingerprint },
    });
    const record: PatchRecord = {
      version: result.snapshot.version,
      id: req.id,
      author: req.author,
      at: this.#options.clock.now().toISOString(),
      patch: text,
      headDigest: headDigest(result.snapshot.head),
    };
    const accepted = await this.#store.writeHead(stored, {
      record,
      head: result.snapshot.head,
      added: result.added,
      dropped: result.dropped,
      fingerprint,
    });
    if (!accepted) {
      throw await this.#conflictError(req.id, fingerprint);
    }
    this.activate(result.snapshot, [record]);
    const { version, author, id } = record;
    this.#options.logger.info(
      { version, author, patchId: id },
      "patch accepted",
    );
    return { version, repeated: false };
  }

  /** The chunks of the version in force that are among `digests`. */
  findChunks(digests: readonly string[]): Buffer[] {
    const { head, base, chunks } = this.#snapshot;
    const wanted = new Set(digests);
    const found = chunks.filter((_, index) => {
      return wanted.delete(head.buckets[index]!);
    });
    return wanted.has(head.base)
      ? [...found, Buffer.from(JSON.stringify(base), "utf8")]
      : found;
  }

  async #catchUp(head: ConfigHead): Promise<void> {
    if (head.version === this.#snapshot.version + 1) {
      const record = await this.#store.record(head.version);
      if (record !== undefined) {
        this.applyRecords([record]);
      }
    }
    await this.activateHead(head, this.#store.readChunks);
  }

  #checkExpectedVersion(req: PatchRequest, current: number): void {
    if (req.expectedVersion !== current) {
      throw new RouterError(
        "config_version_stale",
        `the patch was written against version ${req.expectedVersion}, ` +
          `the current version is ${current}`,
        { details: { current_version: current } },
      );
    }
  }

  async #conflictError(id: string, fingerprint: string): Promise<RouterError> {
    const { head } = await this.#store.readHead();
    invariant(
      "config.refused_patch_not_in_head",
      findPatchVersion(head, id, fingerprint) === undefined,
      { id },
    );
    return new RouterError(
      "config_version_stale",
      `another patch came first, the current version is ${head.version}`,
      { details: { current_version: head.version } },
    );
  }

  #retainRecords(records: readonly PatchRecord[]): void {
    const last = records.at(-1);
    if (last?.version !== this.#snapshot.version) {
      this.#recentRecords = [];
      return;
    }
    const first = records[0]!;
    const isContiguous =
      this.#recentRecords.at(-1)?.version === first.version - 1;
    this.#recentRecords = [
      ...(isContiguous ? this.#recentRecords : []),
      ...records,
    ].slice(
      -MAX_RECENT_RECORDS,
    );
  }
}
