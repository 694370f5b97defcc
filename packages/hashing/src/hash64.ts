import { createHash } from "node:crypto";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

let api: XXHashAPI | undefined;

/** Loads the WebAssembly hash; await it once before {@linkcode hash64}. */
export async function initHashing(): Promise<void> {
  api ??= await xxhash();
}

/** 64-bit xxHash of `text`; identical on all nodes and in all releases. */
export function hash64(text: string): bigint {
  if (api === undefined) {
    throw new Error("initHashing has not been awaited");
  }
  return api.h64(text);
}

/** SHA-256 digest of bytes or text, in lower-case hexadecimal. */
export function sha256Hex(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("hex");
}
