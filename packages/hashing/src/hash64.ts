import { createHash } from "node:crypto";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

let api: XXHashAPI | undefined;

/** Loads the hash; must be awaited once before {@linkcode hash64}. */
export async function initHashing(): Promise<void> {
  api ??= await xxhash();
}

/** 64-bit hash of a text, the same on every node and release. */
export function hash64(text: string): bigint {
  if (api === undefined) {
    throw new Error("initHashing has not been awaited");
  }
  return api.h64(text);
}

/** SHA-256 of bytes or text, in lower-case hexadecimal. */
export function sha256Hex(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("hex");
}
