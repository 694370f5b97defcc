import { Buffer } from "node:buffer";
import type { StorePath } from "./watch_duty.ts";

/** What one node tells the others in a datagram. */
export interface LoadMessage {
  nodeId: string;
  /** Differs between starts of a node. */
  incarnation: string;
  /** Grows with each round of a start. */
  round: number;
  /** Revision of the shared state that the node knows. */
  asOf: number;
  storePath: StorePath;
  /** Requests of the node in flight, by endpoint key. */
  counts: ReadonlyMap<string, number>;
  /** Parts of prompts that the node sent lately, and endpoint keys in turn. */
  placed: readonly string[];
  /** Fingerprints of requests with which an endpoint went down lately, and
   * endpoint keys in turn. */
  crashed: readonly string[];
}

/** Larger datagrams may be split on the way. */
const MAX_DATAGRAM_BYTES = 1_200;
/** Bytes of a datagram beside its counts, at the most. */
const FRAME_BYTES = 200;

/** Lists of pairs in a message. */
const LISTS = 3;

type Wire = [
  nodeId: string,
  incarnation: string,
  round: number,
  asOf: number,
  storePath: StorePath,
  counts: (string | number)[],
  placed: string[],
  crashed: string[],
];

const STORE_PATHS: readonly unknown[] = [
  "open",
  "lost",
  "unknown",
] satisfies StorePath[];

/** Encodes a message, in several datagrams if it is long. */
export function encodeLoadMessage(message: LoadMessage): Buffer[] {
  const { nodeId, incarnation, round, asOf, storePath } = message;
  const { counts, placed, crashed } = message;
  const loads = splitPairs([...counts].flat());
  const places = splitPairs(placed);
  const crashes = splitPairs(crashed);
  const parts = Math.max(loads.length, places.length, crashes.length);
  const datagrams: Buffer[] = [];
  for (let at = 0; at < parts; at += 1) {
    const wire: Wire = [
      nodeId,
      incarnation,
      round,
      asOf,
      storePath,
      loads[at] ?? [],
      places[at] ?? [],
      crashes[at] ?? [],
    ];
    datagrams.push(Buffer.from(JSON.stringify(wire)));
  }
  return datagrams;
}

/** Splits a flat list of pairs so that all lists fit into one datagram. */
function splitPairs<T extends string | number>(flat: readonly T[]): T[][] {
  const lists: T[][] = [[]];
  let bytes = 0;
  for (let at = 0; at + 1 < flat.length; at += 2) {
    const size = String(flat[at]).length + String(flat[at + 1]).length + 6;
    if (bytes + size > (MAX_DATAGRAM_BYTES - FRAME_BYTES) / LISTS) {
      lists.push([]);
      bytes = 0;
    }
    lists.at(-1)!.push(flat[at]!, flat[at + 1]!);
    bytes += size;
  }
  return lists;
}

/** Decodes a datagram; undefined if it is none of ours. */
export function decodeLoadMessage(data: Buffer): LoadMessage | undefined {
  let wire: unknown;
  try {
    wire = JSON.parse(data.toString("utf8"));
  } catch {
    // Anything may arrive on an open port.
    return undefined;
  }
  if (!isWire(wire)) {
    return undefined;
  }
  const [nodeId, incarnation, round, asOf, storePath, flat, placed, crashed] =
    wire;
  const counts = new Map<string, number>();
  for (let at = 0; at + 1 < flat.length; at += 2) {
    counts.set(String(flat[at]), Math.max(0, Number(flat[at + 1]) || 0));
  }
  return {
    nodeId,
    incarnation,
    round,
    asOf,
    storePath,
    counts,
    placed: placed.map(String),
    crashed: crashed.map(String),
  };
}

function isWire(value: unknown): value is Wire {
  return Array.isArray(value) && value.length === 8 &&
    typeof value[0] === "string" && typeof value[1] === "string" &&
    Number.isSafeInteger(value[2]) && Number.isSafeInteger(value[3]) &&
    STORE_PATHS.includes(value[4]) &&
    value.slice(5).every(Array.isArray);
}
