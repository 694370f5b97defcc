import { Buffer } from "node:buffer";

/** Streams that began at the same service and software version. */
export type StreamGroupEntry = [
  service: string,
  version: string,
  streams: string[],
];

/** Streams in one datagram: 50 keys of 13 characters stay below 1,200 bytes
 * together with the names of their service and version. */
const MAX_STREAMS = 50;
/** Tells these datagrams from load messages, which begin with a node's id, and
 * from limit messages. */
const MARKER = 2;
const MAX_TEXT_LENGTH = 256;

/** Encodes groups of streams as datagrams; none if there are no groups. */
export function encodeStreamMessage(
  groups: readonly StreamGroupEntry[],
): Buffer[] {
  return groups.flatMap(([service, version, streams]) => {
    const datagrams: Buffer[] = [];
    for (let start = 0; start < streams.length; start += MAX_STREAMS) {
      const part = streams.slice(start, start + MAX_STREAMS);
      const group: StreamGroupEntry = [service, version, part];
      datagrams.push(Buffer.from(JSON.stringify([MARKER, group])));
    }
    return datagrams;
  });
}

/** Decodes a datagram; undefined if it is not a valid stream message. */
export function decodeStreamMessage(
  data: Buffer,
): StreamGroupEntry[] | undefined {
  let decoded: unknown;
  try {
    decoded = JSON.parse(data.toString("utf8"));
  } catch {
    // Any host can send to the UDP port, so malformed datagrams are ignored.
    return undefined;
  }
  const isMessage = Array.isArray(decoded) && decoded[0] === MARKER;
  return isMessage
    ? (decoded as unknown[]).slice(1).filter(isStreamGroup)
    : undefined;
}

/** Whether a value from another process is a group of streams. */
export function isStreamGroup(value: unknown): value is StreamGroupEntry {
  return Array.isArray(value) && value.length === 3 && isText(value[0]) &&
    isText(value[1]) && Array.isArray(value[2]) && value[2].every(isText);
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}
