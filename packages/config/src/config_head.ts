import { createHash } from "node:crypto";
import { z } from "zod";

/** Number of chunks that the members are divided into. */
export const BUCKET_COUNT = 256;
/** Recent patches whose ids the head remembers. */
export const MAX_RECENT_PATCHES = 64;
/** Versions that a chunk outlives its replacement. */
export const CHUNK_RETENTION_VERSIONS = 16;

const DIGEST_HEX_LENGTH = 32;

const headSchema = z.strictObject({
  version: z.int().nonnegative(),
  base: z.string(),
  buckets: z.array(z.string()).length(BUCKET_COUNT),
  patches: z.array(z.strictObject({
    id: z.string(),
    version: z.int(),
    fingerprint: z.string(),
  })),
  retired: z.array(z.strictObject({
    digest: z.string(),
    version: z.int(),
  })),
});

/**
 * The small value that names a version: the digests of its chunks, the ids
 * of recent patches, and replaced chunks not deleted yet.
 */
export type ConfigHead = z.infer<typeof headSchema>;

/** One accepted patch; applied to the version before, it gives `version`. */
export interface PatchRecord {
  version: number;
  id: string;
  author: string;
  /** Wall-clock time of acceptance, ISO 8601. */
  at: string;
  /** JSON text of the merge patch. */
  patch: string;
  /** Digest of the head that the patch led to. */
  headDigest: string;
}

/** Digest of a chunk or head: 128 bits, hexadecimal. */
export function contentDigest(text: string | Uint8Array): string {
  const digest = createHash("sha256").update(text).digest("hex");
  return digest.slice(0, DIGEST_HEX_LENGTH);
}

/** Writes a head; equal heads give equal texts, however they were made. */
export function encodeHead(head: ConfigHead): string {
  return JSON.stringify({
    version: head.version,
    base: head.base,
    buckets: head.buckets,
    patches: head.patches.map(({ id, version, fingerprint }) => ({
      id,
      version,
      fingerprint,
    })),
    retired: head.retired.map(({ digest, version }) => ({ digest, version })),
  });
}

/** Reads a head; throws when it is not one. */
export function decodeHead(text: string): ConfigHead {
  return headSchema.parse(JSON.parse(text));
}

/** Digest of a head. */
export function headDigest(head: ConfigHead): string {
  return contentDigest(encodeHead(head));
}
