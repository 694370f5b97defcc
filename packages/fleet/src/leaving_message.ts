import { Buffer } from "node:buffer";

/** Keys in one datagram: 12 of 80 characters stay below 1,200 bytes. */
const MAX_KEYS = 12;
/** Tells these datagrams from load, limit and stream messages. */
const MARKER = 3;
const MAX_KEY_LENGTH = 256;

/** Encodes the keys of endpoints that say in their responses that they leave, as
 * datagrams; none if there are no keys. */
export function encodeLeavingMessage(keys: readonly string[]): Buffer[] {
  const datagrams: Buffer[] = [];
  for (let start = 0; start < keys.length; start += MAX_KEYS) {
    const part = keys.slice(start, start + MAX_KEYS);
    datagrams.push(Buffer.from(JSON.stringify([MARKER, part])));
  }
  return datagrams;
}

/** Decodes a datagram; undefined if it is not a valid message of leavings. */
export function decodeLeavingMessage(data: Buffer): string[] | undefined {
  let decoded: unknown;
  try {
    decoded = JSON.parse(data.toString("utf8"));
  } catch {
    // Any host can send to the UDP port, so malformed datagrams are ignored.
    return undefined;
  }
  const isMessage = Array.isArray(decoded) && decoded.length === 2 &&
    decoded[0] === MARKER && Array.isArray(decoded[1]);
  return isMessage
    ? ((decoded as unknown[])[1] as unknown[]).filter(isKey)
    : undefined;
}

function isKey(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_KEY_LENGTH;
}
