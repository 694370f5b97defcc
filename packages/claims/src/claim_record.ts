import { Buffer } from "node:buffer";

/** Answer of a call that ran, as it is replayed to repeats. */
export interface RecordedAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  /** Body, base64; undefined when it was too large to keep. */
  body: string | undefined;
}

/** State of a claim in the store. */
export type ClaimRecordState =
  /** Somebody may run the call, or may have. */
  | "claimed"
  /** The call ran; the answer is recorded. */
  | "ran"
  /** The call may have run; nobody can tell. */
  | "unknown";

/** What the store holds under an idempotency key. */
export interface ClaimRecord {
  claimId: string;
  /** Node that made the claim. */
  nodeId: string;
  /** Peer address of that node. */
  nodeAddress: string;
  /** Digest of the call: method, path and body. */
  fingerprint: string;
  state: ClaimRecordState;
  answer?: RecordedAnswer;
}

/** Writes a record. */
export function encodeClaim(record: ClaimRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record), "utf8");
}

/** Reads a record. */
export function decodeClaim(value: Uint8Array): ClaimRecord {
  return JSON.parse(Buffer.from(value).toString("utf8")) as ClaimRecord;
}
