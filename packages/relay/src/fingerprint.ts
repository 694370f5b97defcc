import type { Buffer } from "node:buffer";
import { sha256Hex } from "@limpetshed/hashing";

/** Hexadecimal digits kept: 64 bits tell requests apart. */
const DIGITS = 16;

/** What the repeats of a request have in common. */
export interface RequestIdentity {
  account: string | undefined;
  /** Path and query. */
  path: string;
  body: Buffer | null;
}

/** Works the fingerprint of a request out when it is first asked for. */
export function lazyFingerprint(
  { account, path, body }: RequestIdentity,
): () => string {
  let known: string | undefined;
  return () => {
    known ??= sha256Hex(
      `${account ?? ""}\n${path}\n${body === null ? "" : sha256Hex(body)}`,
    ).slice(0, DIGITS);
    return known;
  };
}
