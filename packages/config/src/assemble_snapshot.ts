import { Buffer } from "node:buffer";
import { RouterError } from "@limpetshed/errors";
import { decodeBucket } from "./bucket.ts";
import { type ConfigHead, contentDigest } from "./config_head.ts";
import { baseSchema } from "./config_schema.ts";
import { ConfigSnapshot, emptySnapshot, sumShares } from "./config_snapshot.ts";

/** Reads chunks by digest; a chunk that cannot be had is left out. */
export type ChunkReader = (
  digests: readonly string[],
) => Promise<ReadonlyMap<string, Uint8Array>>;

/**
 * Makes a version from its head, taking from `known` the chunks that did not
 * change and reading the others.
 *
 * @throws RouterError `store_unavailable` when a chunk cannot be had whole.
 */
export async function assembleSnapshot(
  head: ConfigHead,
  { known = emptySnapshot(), readChunks }: {
    known?: ConfigSnapshot;
    readChunks: ChunkReader;
  },
): Promise<ConfigSnapshot> {
  const available = new Map<string, Uint8Array>();
  known.head.buckets.forEach((digest, index) => {
    available.set(digest, known.chunks[index]!);
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
    digest === known.head.buckets[index]
      ? known.chunks[index]!
      : chunkOf(digest)
  );
  return new ConfigSnapshot({
    head,
    base: baseSchema.parse(JSON.parse(chunkOf(head.base).toString("utf8"))),
    chunks,
    bucketShares: chunks.map((chunk, index) =>
      chunk === known.chunks[index]
        ? known.bucketShares[index]!
        : sumShares(decodeBucket(chunk))
    ),
  });
}
