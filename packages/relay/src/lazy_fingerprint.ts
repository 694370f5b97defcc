import type { Buffer } from "node:buffer";
import { sha256Hex } from "@limpetshed/hashing";

/** 64 bits, enough to tell requests apart. */
const FINGERPRINT_HEX_DIGITS = 16;

/** Properties of a request that are the same in all its retries. */
export interface RequestIdentity {
  account: string | undefined;
  /** Path and query. */
  path: string;
  body: Buffer | null;
}

/** Returns a function that computes the fingerprint of a request on first use
 * and caches it. */
export function lazyFingerprint(
  { account, path, body }: RequestIdentity,
): () => string {
  let cached: string | undefined;
  return () => {
    cached ??= sha256Hex(
      `${account ?? ""}\n${path}\n${body === null ? "" : sha256Hex(body)}`,
    ).slice(0, FINGERPRINT_HEX_DIGITS);
    return cached;
  };
}
