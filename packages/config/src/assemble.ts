import { Buffer } from "node:buffer";
import { RouterError } from "@limpetshed/errors";
import { decodeBucket } from "./chunk.ts";
import { type ConfigHead, contentDigest } from "./head.ts";
import { baseSchema } from "./schema.ts";
import { ConfigSnapshot, emptySnapshot, sumShares } from "./snapshot.ts";

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
export async function assemble(
  head: ConfigHead,
  { known = emptySnapshot(), readChunks }: {
    known?: ConfigSnapshot;
    readChunks: ChunkReader;
  },
): Promise<ConfigSnapshot> {
  const held = new Map<string, Uint8Array>();
  known.head.buckets.forEach((digest, index) => {
    held.set(digest, known.chunks[index]!);
  });
  const wanted = new Set([head.base, ...head.buckets]);
  const missing = [...wanted].filter((digest) => !held.has(digest));
  for (const [digest, chunk] of await readChunks(missing)) {
    held.set(digest, chunk);
  }
  const take = (digest: string): Buffer => {
    const chunk = held.get(digest);
    if (chunk === undefined || contentDigest(chunk) !== digest) {
      throw new RouterError(
        "store_unavailable",
        "a part of the configuration could not be read",
      );
    }
    return Buffer.from(chunk);
  };
  const chunks = head.buckets.map((digest, index) =>
    digest === known.head.buckets[index] ? known.chunks[index]! : take(digest)
  );
  return new ConfigSnapshot({
    head,
    base: baseSchema.parse(JSON.parse(take(head.base).toString("utf8"))),
    chunks,
    bucketShares: chunks.map((chunk, index) =>
      chunk === known.chunks[index]
        ? known.bucketShares[index]!
        : sumShares(decodeBucket(chunk))
    ),
  });
}
