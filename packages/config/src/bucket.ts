import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { BUCKET_COUNT } from "./config_head.ts";
import type { Member } from "./config_schema.ts";

/** The members of one bucket, by name. */
export type Bucket = Readonly<Record<string, Member>>;

/** Returns the index of the bucket that stores a member. */
export function bucketIndexOf(member: string): number {
  return createHash("sha256").update(member).digest().readUInt32BE(0) %
    BUCKET_COUNT;
}

/** Encodes a bucket; sorted by member, so equal buckets yield equal bytes. */
export function encodeBucket(bucket: Bucket): Buffer {
  const sorted = Object.entries(bucket).sort(([a], [b]) => a < b ? -1 : 1);
  return Buffer.from(JSON.stringify(Object.fromEntries(sorted)), "utf8");
}

/** Decodes a bucket without validating its members. */
export function decodeBucket(chunk: Uint8Array): Bucket {
  return JSON.parse(Buffer.from(chunk).toString("utf8")) as Bucket;
}
