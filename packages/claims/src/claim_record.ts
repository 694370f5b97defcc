import { Buffer } from "node:buffer";

/** Recorded response of a call that ran, replayed to repeated calls. */
export interface RecordedResponse {
  status: number;
  headers: Record<string, string | string[]>;
  /** Base64; undefined if the body was too large to record. */
  body: string | undefined;
}

/** State of a claim in the store. */
export type ClaimRecordState =
  /** The call may still run, may be running or may have run. */
  | "claimed"
  /** The call ran; its response is recorded. */
  | "ran"
  /** The call may have run; its outcome cannot be determined. */
  | "unknown";

/** Claim on an idempotency key, as stored. */
export interface ClaimRecord {
  claimId: string;
  /** Node that made the claim. */
  nodeId: string;
  /** Peer address of that node. */
  nodeAddress: string;
  /** Digest of the call: method, path and body. */
  fingerprint: string;
  state: ClaimRecordState;
  /** Recorded response; set in state `ran`. */
  answer?: RecordedResponse;
}

/** Encodes a record for the store. */
export function encodeClaim(record: ClaimRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record), "utf8");
}

/** Decodes a record read from the store. */
export function decodeClaim(value: Uint8Array): ClaimRecord {
  return JSON.parse(Buffer.from(value).toString("utf8")) as ClaimRecord;
}
