import { createHash, timingSafeEqual } from "node:crypto";

/** Certificate, private key and CA certificate, PEM-encoded. */
export interface PeerTls {
  cert: string;
  key: string;
  ca: string;
}

/** Credentials that nodes present to each other. */
export interface PeerCredentials {
  /** Shared secret of all nodes in the fleet. */
  key: string;
  /** Mutual TLS; links are unencrypted if undefined. */
  tls?: PeerTls;
}

/** Request header that carries the shared secret. */
export const PEER_KEY_HEADER = "x-limpetshed-peer-key";

/**
 * Compares two secrets in constant time. Both are hashed first, because
 * `timingSafeEqual` requires inputs of equal length.
 */
export function secretsEqual(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function digest(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}
