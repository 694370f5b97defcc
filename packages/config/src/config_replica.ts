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

/** A patch submitted by an operator. */
export interface PatchRequest {
  /** Version that the patch is based on. */
  expectedVersion: number;
  /** Id of the patch; a repeat with the same id is not applied again. */
  id: string;
  author: string;
  patch: Json;
}

/** Result of an accepted patch. */
export interface PatchOutcome {
  version: number;
  /** Whether the patch had already been accepted. */
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
 * Holds the active configuration of this node and submits patches to the store.
 * The active version never decreases.
 */
export class ConfigReplica {
  readonly #options: ConfigReplicaOptions;
  readonly #configStore: ConfigStore;
  readonly #listeners: ((snapshot: ConfigSnapshot) => void)[] = [];
  #snapshot = emptySnapshot();
  /** Records of the latest versions, oldest first, without gaps. */
  #recentRecords: PatchRecord[] = [];

  constructor(options: ConfigReplicaOptions) {
    this.#options = options;
    this.#configStore = new ConfigStore(options);
  }

  /** The active version. */
  get snapshot(): ConfigSnapshot {
    return this.#snapshot;
  }

  /** Calls `listener` after every change of the active version. */
  onChange(listener: (snapshot: ConfigSnapshot) => void): void {
    this.#listeners.push(listener);
  }

  /** Activates a version if it is newer than the active one. */
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
    this.#options.logger.info(
      { version: next.version },
      "configuration activated",
    );
    this.#listeners.forEach((listener) => listener(next));
  }

  /** Returns accepted patches, newest first, at most `limit`. */
  async history(options: { limit?: number } = {}): Promise<PatchRecord[]> {
    return await this.#configStore.history(options);
  }

  /** Applies records in version order; skips repeats and those after a gap. */
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

  /** Returns the records after a version; undefined if some are missing. */
  recordsAfter(version: number): PatchRecord[] | undefined {
    const records = this.#recentRecords.filter((record) =>
      record.version > version
    );
    const isComplete = records.length === this.#snapshot.version - version;
    return isComplete ? records : undefined;
  }

  /** Builds the version of `head` from chunks and activates it if newer. */
  async activateHead(head: ConfigHead, readChunks: ChunkReader): Promise<void> {
    if (head.version > this.#snapshot.version) {
      const previous = this.#snapshot;
      this.activate(
        await assembleSnapshot(head, { previous, readChunks }),
      );
    }
  }

  /** Reads the current version from the store and activates it. */
  async refresh(): Promise<void> {
    const stored = await this.#configStore.readHead();
    await this.#updateTo(stored.head);
  }

  /** Activates the version of a head that was delivered by a watch. */
  async onHeadChange(encodedHead: string): Promise<void> {
    await this.#updateTo(decodeHead(encodedHead));
  }

  /**
   * Submits a patch.
   *
   * @throws RouterError `config_version_stale` with the current version,
   *   `config_invalid` with the faults, `config_conflict` if the id was used
   *   for another patch, `store_unavailable` if the patch was not accepted,
   *   `config_outcome_unknown` if it is unknown whether it was accepted.
   */
  async patch(req: PatchRequest): Promise<PatchOutcome> {
    const text = JSON.stringify(req.patch);
    const fingerprint = contentDigest(text);
    const stored = await this.#configStore.readHead();
    await this.#updateTo(stored.head);
    const acceptedVersion = findPatchVersion(stored.head, req.id, fingerprint);
    if (acceptedVersion !== undefined) {
      return { version: acceptedVersion, repeated: true };
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
    const accepted = await this.#configStore.writeHead(stored, {
      record,
      head: result.snapshot.head,
      added: result.added,
      chunksToDelete: result.chunksToDelete,
      fingerprint,
    });
    if (!accepted) {
      throw await this.#staleVersionError(req.id, fingerprint);
    }
    this.activate(result.snapshot, [record]);
    const { version, author, id } = record;
    this.#options.logger.info(
      { version, author, patchId: id },
      "patch accepted",
    );
    return { version, repeated: false };
  }

  /** Returns the chunks of the active version with the given digests. */
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

  /** Activates a head's version, by its record if it is the next version. */
  async #updateTo(head: ConfigHead): Promise<void> {
    if (head.version === this.#snapshot.version + 1) {
      const record = await this.#configStore.record(head.version);
      if (record !== undefined) {
        this.applyRecords([record]);
      }
    }
    await this.activateHead(head, this.#configStore.readChunks);
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

  async #staleVersionError(
    id: string,
    fingerprint: string,
  ): Promise<RouterError> {
    const { head } = await this.#configStore.readHead();
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
