import { Buffer } from "node:buffer";
import { type Clock, invariant } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import type { Logger, Metrics } from "@limpetshed/observe";
import type { StoreClient } from "@limpetshed/store";
import { applyPatch, applyRecord } from "./apply_patch.ts";
import { assemble, type ChunkReader } from "./assemble.ts";
import { ConfigStore, findPatch } from "./config_store.ts";
import {
  type ConfigHead,
  contentDigest,
  decodeHead,
  headDigest,
  type PatchRecord,
} from "./head.ts";
import type { Json } from "./merge_patch.ts";
import { type ConfigSnapshot, emptySnapshot } from "./snapshot.ts";

const RECORDS_KEPT = 64;

/** A patch as an operator submits it. */
export interface PatchRequest {
  /** Version that the patch was written against. */
  againstVersion: number;
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

/** Options of {@linkcode ConfigKeeper}. */
export interface ConfigKeeperOptions {
  store: StoreClient;
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
}

/**
 * The configuration in force on this node, and the way to change it. The
 * version in force never goes down.
 */
export class ConfigKeeper {
  readonly #options: ConfigKeeperOptions;
  readonly #stored: ConfigStore;
  readonly #listeners: ((snapshot: ConfigSnapshot) => void)[] = [];
  #snapshot = emptySnapshot();
  /** Records of the latest versions, oldest first, without gaps. */
  #records: PatchRecord[] = [];

  constructor(options: ConfigKeeperOptions) {
    this.#options = options;
    this.#stored = new ConfigStore(options);
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
  adopt(next: ConfigSnapshot, records: readonly PatchRecord[] = []): void {
    if (next.version <= this.#snapshot.version) {
      return;
    }
    const before = this.#snapshot.version;
    this.#snapshot = next;
    this.#rememberRecords(records);
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
    return await this.#stored.history(options);
  }

  /** Applies records received from a peer, as far as they follow. */
  adoptRecords(records: readonly PatchRecord[]): void {
    let next = this.#snapshot;
    const applied: PatchRecord[] = [];
    for (const record of records) {
      if (record.version === next.version + 1) {
        next = applyRecord(next, record);
        applied.push(record);
      }
    }
    this.adopt(next, applied);
  }

  /** Records after a version, or undefined if not all are held. */
  recordsAfter(version: number): PatchRecord[] | undefined {
    const records = this.#records.filter((record) => record.version > version);
    const whole = records.length === this.#snapshot.version - version;
    return whole ? records : undefined;
  }

  /** Makes the version of `head` from chunks and puts it in force. */
  async adoptHead(head: ConfigHead, readChunks: ChunkReader): Promise<void> {
    if (head.version > this.#snapshot.version) {
      const known = this.#snapshot;
      this.adopt(await assemble(head, { known, readChunks }));
    }
  }

  /** Reads the store's version and puts it in force. */
  async refresh(): Promise<void> {
    const stored = await this.#stored.readHead();
    await this.#catchUp(stored.head);
  }

  /** Takes a head that a watch delivered. */
  async onWatchedHead(text: string): Promise<void> {
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
    const stored = await this.#stored.readHead();
    await this.#catchUp(stored.head);
    const repeated = findPatch(stored.head, req.id, fingerprint);
    if (repeated !== undefined) {
      return { version: repeated, repeated: true };
    }
    this.#checkVersion(req, stored.head.version);
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
    const accepted = await this.#stored.writeHead(stored, {
      record,
      head: result.snapshot.head,
      added: result.added,
      dropped: result.dropped,
      fingerprint,
    });
    if (!accepted) {
      throw await this.#lostRace(req.id, fingerprint);
    }
    this.adopt(result.snapshot, [record]);
    const { version, author, id } = record;
    this.#options.logger.info(
      { version, author, patchId: id },
      "patch accepted",
    );
    return { version, repeated: false };
  }

  /** The chunks of the version in force that are among `digests`. */
  ownChunks(digests: readonly string[]): Buffer[] {
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
      const record = await this.#stored.record(head.version);
      if (record !== undefined) {
        this.adoptRecords([record]);
      }
    }
    await this.adoptHead(head, this.#stored.readChunks);
  }

  #checkVersion(req: PatchRequest, current: number): void {
    if (req.againstVersion !== current) {
      throw new RouterError(
        "config_version_stale",
        `the patch was written against version ${req.againstVersion}, ` +
          `the current version is ${current}`,
        { details: { current_version: current } },
      );
    }
  }

  async #lostRace(id: string, fingerprint: string): Promise<RouterError> {
    const { head } = await this.#stored.readHead();
    invariant(
      "config.refused_patch_not_in_head",
      findPatch(head, id, fingerprint) === undefined,
      { id },
    );
    return new RouterError(
      "config_version_stale",
      `another patch came first, the current version is ${head.version}`,
      { details: { current_version: head.version } },
    );
  }

  #rememberRecords(records: readonly PatchRecord[]): void {
    const last = records.at(-1);
    if (last?.version !== this.#snapshot.version) {
      this.#records = [];
      return;
    }
    const first = records[0]!;
    const follows = this.#records.at(-1)?.version === first.version - 1;
    this.#records = [...(follows ? this.#records : []), ...records].slice(
      -RECORDS_KEPT,
    );
  }
}
