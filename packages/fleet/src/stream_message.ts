import { Buffer } from "node:buffer";
import { isEra } from "@limpetshed/mirror";

/** Streams that began at the same service and software version. */
export type StreamGroupEntry = [
  service: string,
  version: string,
  streams: string[],
];

/** Streams of one node that others are to bring to the store. */
export interface StreamReport {
  groups: StreamGroupEntry[];
  /** Id of the node that relays the streams; undefined if it is of an earlier
   * release and expects no acknowledgment. */
  author: string | undefined;
  /** Whether another node was asked to write the streams, so that this is a copy
   * in case it does not. */
  isCopy: boolean;
}

/** Acknowledges streams that were written to the store. */
export interface StoredStreams {
  groups: StreamGroupEntry[];
  /** Id of the node that wrote them. */
  writer: string;
  /** Era of the store in which they were written. */
  era: number;
}

/** Streams in one datagram: 50 keys of 13 characters stay below 1,200 bytes
 * together with the names of their service, their version and a node. */
const MAX_STREAMS = 50;
/** Tells these datagrams from load messages, which begin with a node's id, and
 * from limit messages. */
const REPORT_MARKER = 2;
const STORED_MARKER = 5;
const MAX_TEXT_LENGTH = 256;

/** Encodes a report as datagrams; none if there are no groups. Nodes of earlier
 * releases ignore what follows the group. */
export function encodeStreamMessage(
  { groups, author, isCopy }: StreamReport,
): Buffer[] {
  return splitGroups(groups).map((group) =>
    encode([REPORT_MARKER, group, { author, isCopy }])
  );
}

/** Decodes a datagram; undefined if it is not a valid report of streams. */
export function decodeStreamMessage(data: Buffer): StreamReport | undefined {
  const decoded = decode(data);
  if (decoded?.[0] !== REPORT_MARKER) {
    return undefined;
  }
  const { author, isCopy } = decoded.slice(1).find(isRecord) ?? {};
  return {
    groups: decoded.slice(1).filter(isStreamGroup),
    author: isText(author) ? author : undefined,
    isCopy: isCopy === true,
  };
}

/** Encodes an acknowledgment as datagrams; none if there are no groups. */
export function encodeStoredMessage(
  { groups, writer, era }: StoredStreams,
): Buffer[] {
  return splitGroups(groups).map((group) =>
    encode([STORED_MARKER, writer, era, group])
  );
}

/** Decodes a datagram; undefined if it is not a valid acknowledgment. */
export function decodeStoredMessage(data: Buffer): StoredStreams | undefined {
  const decoded = decode(data);
  if (decoded?.[0] !== STORED_MARKER) {
    return undefined;
  }
  const [, writer, era, ...groups] = decoded;
  return isText(writer) && isEra(era)
    ? { writer, era, groups: groups.filter(isStreamGroup) }
    : undefined;
}

/** Whether a value from another process is a group of streams. */
export function isStreamGroup(value: unknown): value is StreamGroupEntry {
  return Array.isArray(value) && value.length === 3 && isText(value[0]) &&
    isText(value[1]) && Array.isArray(value[2]) && value[2].every(isText);
}

function splitGroups(groups: readonly StreamGroupEntry[]): StreamGroupEntry[] {
  return groups.flatMap(([service, version, streams]) => {
    const parts: StreamGroupEntry[] = [];
    for (let start = 0; start < streams.length; start += MAX_STREAMS) {
      parts.push([service, version, streams.slice(start, start + MAX_STREAMS)]);
    }
    return parts;
  });
}

function encode(message: unknown[]): Buffer {
  return Buffer.from(JSON.stringify(message));
}

function decode(data: Buffer): unknown[] | undefined {
  try {
    const decoded: unknown = JSON.parse(data.toString("utf8"));
    return Array.isArray(decoded) ? decoded : undefined;
  } catch {
    // Any host can send to the UDP port, so malformed datagrams are ignored.
    return undefined;
  }
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}
