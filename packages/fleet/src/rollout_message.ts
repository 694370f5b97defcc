import { Buffer } from "node:buffer";

/** Answers of one version on one route: cumulative counts. */
export interface RolloutCellEntry {
  route: string;
  /** Group of endpoints; negative for those of other versions. */
  group: number;
  answered: number;
  failed: number;
  /** Answers by their duration. */
  buckets: readonly number[];
}

/** What one start of a node knows of a rollout by itself. */
export interface RolloutReportEntry {
  service: string;
  /** Revision of the order. */
  order: number;
  /** Unique to each start of a node. */
  source: string;
  /** Increases with each report of the source. */
  sequence: number;
  /** Whether the source sends nothing to other versions any more. */
  isSwitched: boolean;
  /** Requests of the source in flight at endpoints of other versions. */
  otherInFlight: number;
  isBad: boolean;
  /** Time since the order, milliseconds. */
  ageMs: number;
  cells: readonly RolloutCellEntry[];
}

/** Tells these datagrams from those of loads, limits, streams and leavings. */
const MARKER = 4;
/** Cells in one datagram: eight of some 100 bytes stay below 1,200 bytes. */
const MAX_CELLS = 8;
const MAX_TEXT_LENGTH = 256;
const MAX_BUCKETS = 64;

/** Encodes a report as datagrams; `isDirect` unless it is passed on. */
export function encodeRolloutMessage(
  report: RolloutReportEntry,
  { isDirect }: { isDirect: boolean },
): Buffer[] {
  const datagrams: Buffer[] = [];
  for (
    let start = 0;
    start === 0 || start < report.cells.length;
    start += MAX_CELLS
  ) {
    datagrams.push(Buffer.from(JSON.stringify([
      MARKER,
      isDirect ? 1 : 0,
      report.service,
      report.order,
      report.source,
      report.sequence,
      report.isSwitched ? 1 : 0,
      report.otherInFlight,
      report.isBad ? 1 : 0,
      report.ageMs,
      report.cells.slice(start, start + MAX_CELLS).map(encodeCell),
    ])));
  }
  return datagrams;
}

/** Decodes a datagram; undefined if it is not a valid report. */
export function decodeRolloutMessage(
  data: Buffer,
): { report: RolloutReportEntry; isDirect: boolean } | undefined {
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
  const [
    ,
    isDirect,
    service,
    order,
    source,
    sequence,
    isSwitched,
    otherInFlight,
    isBad,
    ageMs,
    cells,
  ] = decoded as unknown[];
  if (
    !isText(service) || !isText(source) || !Array.isArray(cells) ||
    !isCount(order) || !isCount(sequence) || !isCount(otherInFlight) ||
    !isCount(ageMs)
  ) {
    return undefined;
  }
  return {
    isDirect: isDirect === 1,
    report: {
      service,
      order,
      source,
      sequence,
      isSwitched: isSwitched === 1,
      otherInFlight,
      isBad: isBad === 1,
      ageMs,
      cells: cells.map(decodeCell).filter((cell) => cell !== undefined),
    },
  };
}

/** Leaves out the empty buckets before the first answer. */
function encodeCell(
  { route, group, answered, failed, buckets }: RolloutCellEntry,
): unknown[] {
  const first = Math.max(0, buckets.findIndex((count) => count > 0));
  return [route, group, answered, failed, first, ...buckets.slice(first)];
}

function decodeCell(value: unknown): RolloutCellEntry | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [route, group, ...counts] = value as unknown[];
  if (
    !isText(route) || !Number.isSafeInteger(group) || !counts.every(isCount)
  ) {
    return undefined;
  }
  const [answered = 0, failed = 0, first = 0, ...buckets] = counts;
  if (failed > answered || first + buckets.length > MAX_BUCKETS) {
    return undefined;
  }
  return {
    route,
    group: group as number,
    answered,
    failed,
    buckets: [...new Array<number>(first).fill(0), ...buckets],
  };
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
