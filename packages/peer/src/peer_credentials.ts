import { createHash, timingSafeEqual } from "node:crypto";

/** TLS material, PEM texts. */
export interface PeerTls {
  cert: string;
  key: string;
  ca: string;
}

/** What nodes show each other; read anew for every connection. */
export interface PeerCredentials {
  /** Key that every node of the fleet holds. */
  key: string;
  /** Mutual TLS; without it, links are in clear text. */
  tls?: PeerTls;
}

/** Request header with the fleet's key. */
export const PEER_KEY_HEADER = "x-limpetshed-peer-key";

/** Compares two secrets in time that does not depend on their content. */
export function secretsEqual(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function digest(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}
