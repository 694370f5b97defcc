import { createHash } from "node:crypto";
import { z } from "zod";

/** Number of buckets that members are hashed into; each is one chunk. */
export const BUCKET_COUNT = 256;
/** Maximum number of recent patches whose ids the head records. */
export const MAX_RECENT_PATCHES = 64;
/** Number of versions for which a replaced chunk is retained. */
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
 * The root record of a version: the digests of its chunks, the ids of recent
 * patches, and replaced chunks that are not deleted yet.
 */
export type ConfigHead = z.infer<typeof headSchema>;

/** An accepted patch; applied to the previous version, it yields `version`. */
export interface PatchRecord {
  version: number;
  id: string;
  author: string;
  /** Wall-clock time of acceptance, ISO 8601. */
  at: string;
  /** JSON text of the merge patch. */
  patch: string;
  /** Digest of the resulting head. */
  headDigest: string;
}

/** Computes the digest of a chunk or head: 128 bits, hexadecimal. */
export function contentDigest(text: string | Uint8Array): string {
  const digest = createHash("sha256").update(text).digest("hex");
  return digest.slice(0, DIGEST_HEX_LENGTH);
}

/** Encodes a head in a fixed key order, so that equal heads yield equal text. */
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

/** Decodes a head; throws if it does not match the schema. */
export function decodeHead(text: string): ConfigHead {
  return headSchema.parse(JSON.parse(text));
}

/** Computes the digest of a head. */
export function headDigest(head: ConfigHead): string {
  return contentDigest(encodeHead(head));
}
