import { Buffer } from "node:buffer";
import { hasErrorKind, RouterError } from "@limpetshed/errors";
import type { StoreClient, StoreWrite } from "@limpetshed/store";
import type { ChunkReader } from "./assemble_snapshot.ts";
import {
  type ConfigHead,
  decodeHead,
  encodeHead,
  type PatchRecord,
} from "./config_head.ts";
import { emptySnapshot } from "./config_snapshot.ts";

/** Store key of the head. */
export const HEAD_KEY = "limpetshed/config/head";
const CHUNK_PREFIX = "limpetshed/config/chunk/";
const HISTORY_PREFIX = "limpetshed/config/history/";
const HISTORY_RETENTION_VERSIONS = 1_000;
const VERSION_DIGITS = 12;
/** Above this number, all chunks are read with one list request. */
const MAX_SINGLE_CHUNK_READS = 16;

/** A head and the store revision of its last change; 0 if none is stored. */
export interface StoredHead {
  head: ConfigHead;
  modRevision: bigint;
}

/** The changes that a patch makes in the store. */
export interface HeadUpdate {
  record: PatchRecord;
  head: ConfigHead;
  /** New chunks by digest. */
  added: ReadonlyMap<string, Buffer>;
  /** Digests of chunks to delete. */
  chunksToDelete: readonly string[];
  /** Digest of the patch's JSON text. */
  fingerprint: string;
}

/** Reads and writes the configuration in the store. */
export class ConfigStore {
  readonly #store: StoreClient;

  constructor({ store }: { store: StoreClient }) {
    this.#store = store;
  }

  /** Returns accepted patches, newest first, at most `limit`. */
  async history({ limit = 50 }: { limit?: number } = {}): Promise<
    PatchRecord[]
  > {
    const entries = await this.#store.list("config_read", HISTORY_PREFIX);
    return entries
      .map((entry) => parseRecord(entry.value))
      .sort((a, b) => b.version - a.version)
      .slice(0, limit);
  }

  /** Returns the record of one version, if it is still stored. */
  async record(version: number): Promise<PatchRecord | undefined> {
    const entry = await this.#store.get("config_read", historyKey(version));
    return entry === undefined ? undefined : parseRecord(entry.value);
  }

  /** Reads chunks from the store; may return more than were requested. */
  readonly readChunks: ChunkReader = async (digests) => {
    const found = new Map<string, Uint8Array>();
    if (digests.length > MAX_SINGLE_CHUNK_READS) {
      for (
        const { key, value } of await this.#store.list(
          "config_read",
          CHUNK_PREFIX,
        )
      ) {
        found.set(key.slice(CHUNK_PREFIX.length), value);
      }
      return found;
    }
    for (const digest of digests) {
      const entry = await this.#store.get("config_read", CHUNK_PREFIX + digest);
      if (entry !== undefined) {
        found.set(digest, entry.value);
      }
    }
    return found;
  };

  /** Reads the current head. */
  async readHead(): Promise<StoredHead> {
    const entry = await this.#store.get("config_read", HEAD_KEY);
    return entry === undefined
      ? { head: emptySnapshot().head, modRevision: 0n }
      : {
        head: decodeHead(Buffer.from(entry.value).toString("utf8")),
        modRevision: entry.modRevision,
      };
  }

  /**
   * Replaces the head if it is still `stored`. Returns whether it was replaced.
   *
   * @throws RouterError `store_unavailable`, `config_outcome_unknown`.
   */
  async writeHead(stored: StoredHead, update: HeadUpdate): Promise<boolean> {
    const { record, head, added, chunksToDelete } = update;
    const put = (key: string, value: Uint8Array): StoreWrite => ({
      kind: "put",
      key,
      value,
    });
    const writes: StoreWrite[] = [
      put(HEAD_KEY, Buffer.from(encodeHead(head), "utf8")),
      put(historyKey(record.version), Buffer.from(JSON.stringify(record))),
      ...[...added].map(([digest, chunk]) => put(CHUNK_PREFIX + digest, chunk)),
      ...chunksToDelete.map((digest): StoreWrite => ({
        kind: "delete",
        key: CHUNK_PREFIX + digest,
      })),
      {
        kind: "delete",
        key: historyKey(record.version - HISTORY_RETENTION_VERSIONS),
      },
    ];
    try {
      const { succeeded } = await this.#store.transact("config_patch", {
        conditions: [
          stored.modRevision === 0n ? { kind: "absent", key: HEAD_KEY } : {
            kind: "unchanged",
            key: HEAD_KEY,
            modRevision: stored.modRevision,
          },
        ],
        writes,
      });
      return succeeded;
    } catch (err) {
      if (!hasErrorKind(err, "store_outcome_unknown")) {
        throw err;
      }
      return await this.#resolveUnknownOutcome(
        record.id,
        update.fingerprint,
        stored,
      );
    }
  }

  /** Reads the head back to learn whether an unanswered write took effect. */
  async #resolveUnknownOutcome(
    id: string,
    fingerprint: string,
    expected: StoredHead,
  ): Promise<boolean> {
    let current: StoredHead;
    try {
      current = await this.readHead();
    } catch (err) {
      throw outcomeUnknownError(err);
    }
    if (findPatchVersion(current.head, id, fingerprint) !== undefined) {
      return true;
    }
    if (current.modRevision === expected.modRevision) {
      throw outcomeUnknownError();
    }
    return false;
  }
}

function historyKey(version: number): string {
  return HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

function parseRecord(value: Uint8Array): PatchRecord {
  return JSON.parse(Buffer.from(value).toString("utf8")) as PatchRecord;
}

/**
 * Finds the version that a patch id produced.
 *
 * @throws RouterError `config_conflict` if the id belongs to a different patch.
 */
export function findPatchVersion(
  head: ConfigHead,
  id: string,
  fingerprint: string,
): number | undefined {
  const found = head.patches.find((entry) => entry.id === id);
  if (found !== undefined && found.fingerprint !== fingerprint) {
    throw new RouterError(
      "config_conflict",
      "another patch was accepted under this id",
    );
  }
  return found?.version;
}

function outcomeUnknownError(cause?: unknown): RouterError {
  return new RouterError(
    "config_outcome_unknown",
    "whether the patch was accepted cannot be told; repeat it under its id",
    { cause },
  );
}
