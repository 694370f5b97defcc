import { Buffer } from "node:buffer";
import { hasErrorKind, RouterError } from "@limpetshed/errors";
import type { StoreClient, StoreWrite } from "@limpetshed/store";
import type { ChunkReader } from "./assemble.ts";
import {
  type ConfigHead,
  decodeHead,
  encodeHead,
  type PatchRecord,
} from "./head.ts";
import { emptySnapshot } from "./snapshot.ts";

/** Key of the head in the store. */
export const HEAD_KEY = "limpetshed/config/head";
const CHUNK_PREFIX = "limpetshed/config/chunk/";
const HISTORY_PREFIX = "limpetshed/config/history/";
const HISTORY_KEPT = 1_000;
const VERSION_DIGITS = 12;
/** Chunks from which on the store is asked for all at once. */
const CHUNKS_READ_SINGLY = 16;

/** A head with the revision of its last change; 0 when there is none yet. */
export interface StoredHead {
  head: ConfigHead;
  modRevision: bigint;
}

/** What a patch writes. */
export interface HeadWrite {
  record: PatchRecord;
  head: ConfigHead;
  /** New chunks by digest. */
  added: ReadonlyMap<string, Buffer>;
  /** Digests of chunks to delete. */
  dropped: readonly string[];
  /** Digest of the patch's text. */
  fingerprint: string;
}

/** The configuration as the store holds it. */
export class ConfigStore {
  readonly #store: StoreClient;

  constructor({ store }: { store: StoreClient }) {
    this.#store = store;
  }

  /** Accepted patches, newest first, at most `limit`. */
  async history({ limit = 50 }: { limit?: number } = {}): Promise<
    PatchRecord[]
  > {
    const entries = await this.#store.list("config_read", HISTORY_PREFIX);
    return entries
      .map((entry) => parseRecord(entry.value))
      .sort((a, b) => b.version - a.version)
      .slice(0, limit);
  }

  /** The record of one version, if it is still kept. */
  async record(version: number): Promise<PatchRecord | undefined> {
    const entry = await this.#store.get("config_read", historyKey(version));
    return entry === undefined ? undefined : parseRecord(entry.value);
  }

  /** Reads chunks from the store. */
  readonly readChunks: ChunkReader = async (digests) => {
    const found = new Map<string, Uint8Array>();
    if (digests.length > CHUNKS_READ_SINGLY) {
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

  /** Reads the head. */
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
   * Replaces the head, if it is still `stored`. Returns whether it did.
   *
   * @throws RouterError `store_unavailable`, `config_outcome_unknown`.
   */
  async writeHead(stored: StoredHead, next: HeadWrite): Promise<boolean> {
    const { record, head, added, dropped } = next;
    const put = (key: string, value: Uint8Array): StoreWrite => ({
      kind: "put",
      key,
      value,
    });
    const writes: StoreWrite[] = [
      put(HEAD_KEY, Buffer.from(encodeHead(head), "utf8")),
      put(historyKey(record.version), Buffer.from(JSON.stringify(record))),
      ...[...added].map(([digest, chunk]) => put(CHUNK_PREFIX + digest, chunk)),
      ...dropped.map((digest): StoreWrite => ({
        kind: "delete",
        key: CHUNK_PREFIX + digest,
      })),
      { kind: "delete", key: historyKey(record.version - HISTORY_KEPT) },
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
      return await this.#readBack(record.id, next.fingerprint, stored);
    }
  }

  /** Tells whether a write whose answer was lost has taken effect. */
  async #readBack(
    id: string,
    fingerprint: string,
    before: StoredHead,
  ): Promise<boolean> {
    let now: StoredHead;
    try {
      now = await this.readHead();
    } catch (err) {
      throw outcomeUnknown(err);
    }
    if (findPatch(now.head, id, fingerprint) !== undefined) {
      return true;
    }
    if (now.modRevision === before.modRevision) {
      throw outcomeUnknown();
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

/** Version of a known patch id; throws when it was another patch. */
export function findPatch(
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

function outcomeUnknown(cause?: unknown): RouterError {
  return new RouterError(
    "config_outcome_unknown",
    "whether the patch was accepted cannot be told; repeat it under its id",
    { cause },
  );
}
