import { Buffer } from "node:buffer";
import { RouterError } from "@limpetshed/errors";
import { decodeBucket } from "./bucket.ts";
import { type ConfigHead, contentDigest } from "./config_head.ts";
import { baseSchema } from "./config_schema.ts";
import { ConfigSnapshot, emptySnapshot, sumShares } from "./config_snapshot.ts";

/** Reads chunks by digest; unavailable chunks are omitted. */
export type ChunkReader = (
  digests: readonly string[],
) => Promise<ReadonlyMap<string, Uint8Array>>;

/**
 * Builds a version from its head. Reuses unchanged buckets of `previous` and
 * reads the other chunks.
 *
 * @throws RouterError `store_unavailable` if a chunk is missing or corrupt.
 */
export async function assembleSnapshot(
  head: ConfigHead,
  { previous = emptySnapshot(), readChunks }: {
    previous?: ConfigSnapshot;
    readChunks: ChunkReader;
  },
): Promise<ConfigSnapshot> {
  const available = new Map<string, Uint8Array>();
  previous.head.buckets.forEach((digest, index) => {
    available.set(digest, previous.chunks[index]!);
  });
  const required = new Set([head.base, ...head.buckets]);
  const missing = [...required].filter((digest) => !available.has(digest));
  for (const [digest, chunk] of await readChunks(missing)) {
    available.set(digest, chunk);
  }
  const chunkOf = (digest: string): Buffer => {
    const chunk = available.get(digest);
    if (chunk === undefined || contentDigest(chunk) !== digest) {
      throw new RouterError(
        "store_unavailable",
        "a part of the configuration could not be read",
      );
    }
    return Buffer.from(chunk);
  };
  const chunks = head.buckets.map((digest, index) =>
    digest === previous.head.buckets[index]
      ? previous.chunks[index]!
      : chunkOf(digest)
  );
  return new ConfigSnapshot({
    head,
    base: baseSchema.parse(JSON.parse(chunkOf(head.base).toString("utf8"))),
    chunks,
    bucketShares: chunks.map((chunk, index) =>
      chunk === previous.chunks[index]
        ? previous.bucketShares[index]!
        : sumShares(decodeBucket(chunk))
    ),
  });
}
