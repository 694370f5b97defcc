import { Buffer } from "node:buffer";
import { isEra, type StorePosition, UNNAMED_ERA } from "@limpetshed/mirror";
import type { StoreConnectivity } from "./choose_watchers.ts";

/** Load report that a node broadcasts to its peers. */
export interface LoadMessage {
  nodeId: string;
  /** Unique to each start of a node. */
  incarnation: string;
  /** Broadcast round; increases within an incarnation. */
  round: number;
  /** Position of the shared state known to the node. */
  position: StorePosition;
  storeConnectivity: StoreConnectivity;
  /** The node's in-flight requests, by endpoint key. */
  inFlightByEndpoint: ReadonlyMap<string, number>;
  /** Alternating ids of prompt parts that the node sent recently and keys of
   * the endpoints that it sent them to. */
  placements: readonly string[];
  /** Alternating traits of requests during which an endpoint recently crashed
   * and descriptions of those crashes. */
  crashReports: readonly string[];
}

/** Larger datagrams may be fragmented on the network. */
const MAX_DATAGRAM_BYTES = 1_200;
/** Upper bound of the size of a datagram without the contents of its pair
 * lists. */
const MAX_HEADER_BYTES = 200;

/** More than any node has in flight at one endpoint. */
const MAX_IN_FLIGHT = 1_000_000;

/** Separates the incarnation from the era. */
const ERA_MARK = "@";

/** Pair lists in a datagram: in-flight counts, placements, crash reports. */
const LISTS_PER_DATAGRAM = 3;

/** A datagram as a JSON array. Each pair list is flattened to alternating first
 * and second values. */
type EncodedMessage = [
  nodeId: string,
  /** Followed by the era, if the store names one: nodes of earlier releases reject
   * messages with a further element. */
  incarnation: string,
  round: number,
  revision: number,
  storeConnectivity: StoreConnectivity,
  inFlight: (string | number)[],
  placements: string[],
  crashReports: string[],
];

const STORE_CONNECTIVITIES: readonly unknown[] = [
  "open",
  "lost",
  "unknown",
] satisfies StoreConnectivity[];

/** Encodes a message, as several datagrams if it exceeds the size limit. */
export function encodeLoadMessage(message: LoadMessage): Buffer[] {
  const { nodeId, round, position, storeConnectivity } = message;
  const incarnation = encodeIncarnation(message);
  const { inFlightByEndpoint, placements, crashReports } = message;
  const inFlightChunks = chunkPairs([...inFlightByEndpoint].flat());
  const placementChunks = chunkPairs(placements);
  const crashReportChunks = chunkPairs(crashReports);
  const datagramCount = Math.max(
    inFlightChunks.length,
    placementChunks.length,
    crashReportChunks.length,
  );
  const datagrams: Buffer[] = [];
  for (let index = 0; index < datagramCount; index += 1) {
    const encoded: EncodedMessage = [
      nodeId,
      incarnation,
      round,
      position.revision,
      storeConnectivity,
      inFlightChunks[index] ?? [],
      placementChunks[index] ?? [],
      crashReportChunks[index] ?? [],
    ];
    datagrams.push(Buffer.from(JSON.stringify(encoded)));
  }
  return datagrams;
}

/** Splits a flattened pair list into chunks of at most a third of a datagram's
 * capacity, so that one chunk of each of the three lists fits into it. */
function chunkPairs<T extends string | number>(flat: readonly T[]): T[][] {
  const chunks: T[][] = [[]];
  let bytes = 0;
  for (let index = 0; index + 1 < flat.length; index += 2) {
    // 6 bytes for the quotes and commas around the two JSON strings.
    const size = String(flat[index]).length + String(flat[index + 1]).length +
      6;
    if (
      bytes + size >
        (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES) / LISTS_PER_DATAGRAM
    ) {
      chunks.push([]);
      bytes = 0;
    }
    chunks.at(-1)!.push(flat[index]!, flat[index + 1]!);
    bytes += size;
  }
  return chunks;
}

/** Decodes a datagram; undefined if it is not a valid load message. */
export function decodeLoadMessage(data: Buffer): LoadMessage | undefined {
  let decoded: unknown;
  try {
    decoded = JSON.parse(data.toString("utf8"));
  } catch {
    // Any host can send to the UDP port, so malformed datagrams are ignored.
    return undefined;
  }
  if (!isEncodedMessage(decoded)) {
    return undefined;
  }
  const [
    nodeId,
    startAndEra,
    round,
    revision,
    storeConnectivity,
    inFlight,
    placements,
    crashReports,
  ] = decoded;
  const { incarnation, era } = decodeIncarnation(startAndEra);
  const inFlightByEndpoint = new Map<string, number>();
  for (let index = 0; index + 1 < inFlight.length; index += 2) {
    const count = Number(inFlight[index + 1]) || 0;
    inFlightByEndpoint.set(
      String(inFlight[index]),
      Math.min(MAX_IN_FLIGHT, Math.max(0, count)),
    );
  }
  return {
    nodeId,
    incarnation,
    round,
    position: { era, revision },
    storeConnectivity,
    inFlightByEndpoint,
    placements,
    crashReports,
  };
}

function encodeIncarnation(
  { incarnation, position: { era } }: LoadMessage,
): string {
  return era === UNNAMED_ERA ? incarnation : `${incarnation}${ERA_MARK}${era}`;
}

function decodeIncarnation(text: string): { incarnation: string; era: number } {
  const markIndex = text.lastIndexOf(ERA_MARK);
  const era = Number(text.slice(markIndex + 1));
  return markIndex >= 0 && isEra(era)
    ? { incarnation: text.slice(0, markIndex), era }
    : { incarnation: text, era: UNNAMED_ERA };
}

function isEncodedMessage(value: unknown): value is EncodedMessage {
  return Array.isArray(value) && value.length === 8 &&
    typeof value[0] === "string" && typeof value[1] === "string" &&
    Number.isSafeInteger(value[2]) && Number.isSafeInteger(value[3]) &&
    STORE_CONNECTIVITIES.includes(value[4]) &&
    value.slice(5).every(Array.isArray) &&
    // Values that are no text or number may be nested too deeply to convert.
    (value[5] as unknown[]).every((item) =>
      typeof item === "string" || typeof item === "number"
    ) &&
    [...value[6] as unknown[], ...value[7] as unknown[]]
      .every((item) => typeof item === "string");
}
