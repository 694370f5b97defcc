import { Buffer } from "node:buffer";

/** How fast an endpoint said that it is, as a node passes it on. */
export interface SpeedEntry {
  /** Key of the endpoint. */
  endpoint: string;
  /** How long work takes there, as a multiple of the usual time. */
  slowness: number;
  ageMs: number;
}

/** Larger datagrams may be fragmented on the network. */
const MAX_DATAGRAM_BYTES = 1_200;
/** Tells these datagrams from load, limit, leaving and stream messages. */
const MARKER = "speeds";
const MAX_KEY_LENGTH = 256;
const PERCENT = 100;

/** Encodes entries as one datagram; those that do not fit are left out. Undefined
 * if there are none. */
export function encodeSpeedMessage(
  entries: readonly SpeedEntry[],
): Buffer | undefined {
  const flat: (string | number)[] = [];
  let bytes = MARKER.length + 4;
  for (const { endpoint, slowness, ageMs } of entries) {
    const values = [
      endpoint,
      Math.round(slowness * PERCENT),
      Math.round(ageMs),
    ];
    bytes += Buffer.byteLength(JSON.stringify(values));
    if (bytes > MAX_DATAGRAM_BYTES) {
      break;
    }
    flat.push(...values);
  }
  return flat.length === 0
    ? undefined
    : Buffer.from(JSON.stringify([MARKER, ...flat]));
}

/** Decodes a datagram; undefined if it is not a message of speeds. Malformed
 * entries are left out. */
export function decodeSpeedMessage(data: Buffer): SpeedEntry[] | undefined {
  let decoded: unknown;
  try {
    decoded = JSON.parse(data.toString("utf8"));
  } catch {
    // Any host can send to the UDP port, so malformed datagrams are ignored.
    return undefined;
  }
  if (!Array.isArray(decoded) || decoded[0] !== MARKER) {
    return undefined;
  }
  const flat = decoded as unknown[];
  const entries: SpeedEntry[] = [];
  for (let index = 1; index + 2 < flat.length; index += 3) {
    const [endpoint, percent, ageMs] = flat.slice(index, index + 3);
    if (
      typeof endpoint === "string" && endpoint.length <= MAX_KEY_LENGTH &&
      typeof percent === "number" && percent > 0 &&
      typeof ageMs === "number" && ageMs >= 0
    ) {
      entries.push({ endpoint, slowness: percent / PERCENT, ageMs });
    }
  }
  return entries;
}
