import { Buffer } from "node:buffer";

/** An endpoint's limit as one node knows it; `null` stands for one that is
 * over. */
export type LimitEntry = [
  endpointKey: string,
  requestsPerS: number | null,
  heardAgeMs: number,
  sentAgeMs: number,
];

/** A part of the sender's share of an endpoint's limit that the receiver may
 * use. */
export type LoanEntry = [
  endpointKey: string,
  rateFraction: number,
  burst: number,
];

/** An endpoint of whose limit the sender lacks a share, how many shares it has all
 * the same, and how long it has waited. */
export type NeedEntry = [
  endpointKey: string,
  shareCount: number,
  waitedMs: number,
];

/** What a node tells others of the limits of endpoints. */
export interface LimitMessage {
  nodeId: string;
  /** Unique to each start of a node. */
  incarnation: string;
  /** Broadcast round; increases within an incarnation. */
  round: number;
  limits: readonly LimitEntry[];
  needs: readonly NeedEntry[];
  /** All loans to the receiver; undefined if the message is not about loans. */
  loans: readonly LoanEntry[] | undefined;
}

/** Entries of each list in one datagram: 10 of some 70 bytes stay below 1,200 bytes
 * together with as many keys. */
const MAX_ENTRIES = 10;
/** Larger rates and ages are not sensible. */
const MAX_AMOUNT = 1e9;
/** Tells these datagrams from load messages, which begin with a node's id. */
const MARKER = 1;

type EncodedMessage = [
  marker: typeof MARKER,
  nodeId: string,
  incarnation: string,
  round: number,
  limits: LimitEntry[],
  needs: NeedEntry[],
  loans: LoanEntry[] | null,
];

/** Encodes a message, as several datagrams if it is long; none if it is empty.
 * Loans beyond those of one datagram are left out. */
export function encodeLimitMessage(message: LimitMessage): Buffer[] {
  const { nodeId, incarnation, round, limits, needs, loans } = message;
  const datagrams: Buffer[] = [];
  const count = Math.max(
    loans === undefined ? 0 : 1,
    Math.ceil(limits.length / MAX_ENTRIES),
    Math.ceil(needs.length / MAX_ENTRIES),
  );
  for (let index = 0; index < count; index += 1) {
    const start = index * MAX_ENTRIES;
    const encoded: EncodedMessage = [
      MARKER,
      nodeId,
      incarnation,
      round,
      limits.slice(start, start + MAX_ENTRIES).map(roundAges),
      needs.slice(start, start + MAX_ENTRIES),
      index === 0 ? loans?.slice(0, MAX_ENTRIES) ?? null : null,
    ];
    datagrams.push(Buffer.from(JSON.stringify(encoded)));
  }
  return datagrams;
}

/** Decodes a datagram; undefined if it is not a valid limit message. */
export function decodeLimitMessage(data: Buffer): LimitMessage | undefined {
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
  const [, nodeId, incarnation, round, limits, needs, loans] = decoded;
  return {
    nodeId,
    incarnation,
    round,
    limits: limits.filter(isLimitEntry),
    needs: needs.filter(isNeedEntry),
    loans: loans?.filter(isLoanEntry),
  };
}

function roundAges(
  [key, requestsPerS, heardAgeMs, sentAgeMs]: LimitEntry,
): LimitEntry {
  return [key, requestsPerS, Math.round(heardAgeMs), Math.round(sentAgeMs)];
}

function isEncodedMessage(value: unknown): value is EncodedMessage {
  return Array.isArray(value) && value.length === 7 && value[0] === MARKER &&
    typeof value[1] === "string" && typeof value[2] === "string" &&
    Number.isSafeInteger(value[3]) && Array.isArray(value[4]) &&
    Array.isArray(value[5]) && (value[6] === null || Array.isArray(value[6]));
}

function isLimitEntry(value: unknown): value is LimitEntry {
  return Array.isArray(value) && typeof value[0] === "string" &&
    (value[1] === null || isAmount(value[1])) && isAmount(value[2]) &&
    isAmount(value[3]);
}

function isNeedEntry(value: unknown): value is NeedEntry {
  return Array.isArray(value) && typeof value[0] === "string" &&
    isAmount(value[1]) && isAmount(value[2]);
}

function isLoanEntry(value: unknown): value is LoanEntry {
  return Array.isArray(value) && typeof value[0] === "string" &&
    isAmount(value[1]) && value[1] <= 1 && isAmount(value[2]) && value[2] <= 1;
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && value >= 0 && value <= MAX_AMOUNT;
}
