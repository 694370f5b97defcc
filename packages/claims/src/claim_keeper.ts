import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { ulid } from "ulid";
import { type Clock, invariant } from "@limpetshed/base";
import { isKind, RouterError, toRouterError } from "@limpetshed/errors";
import { type Rng, sha256Hex } from "@limpetshed/hashing";
import type { Membership } from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { StoreClient, StoreCondition } from "@limpetshed/store";
import { ClaimBook } from "./claim_book.ts";
import { ClaimLeases } from "./claim_leases.ts";
import {
  type ClaimRecord,
  decodeClaim,
  encodeClaim,
  type RecordedAnswer,
} from "./claim_record.ts";
import { type HeldClaim, OutcomeRecorder } from "./outcome_recorder.ts";

/** Options of {@linkcode ClaimKeeper}. */
export interface ClaimKeeperOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  metrics: Metrics;
  store: StoreClient;
  membership: Membership;
  transport: PeerTransport;
  handlers: PeerHandlers;
  /** Least time that a claim is kept, in milliseconds. */
  keepMs?: number;
}

/** A call that runs at most once. */
export interface ClaimedCall {
  member: string;
  service: string;
  /** The caller's idempotency key. */
  key: string;
  /** Digest of method, path and body. */
  fingerprint: string;
  /**
   * Sends the call. Called at most once. A rejection with run state `not-run`
   * says that no byte was sent.
   */
  send: () => Promise<PlainResult>;
}

/** Answer of the service. */
export interface PlainResult {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** Answer for the caller. */
export interface ClaimedAnswer extends PlainResult {
  /** The answer was recorded by an earlier call. */
  replayed: boolean;
}

const CLAIM_PREFIX = "limpetshed/claim/";
const DEFAULT_KEEP_MS = 24 * 3_600_000;
const QUERY_TIMEOUT_MS = 1_000;
const MAX_RECORDED_BYTES = 256 * 1_024;
const IN_PROGRESS_RETRY_MS = 1_000;

/**
 * Runs a call at most once per idempotency key over the whole fleet. A claim
 * in the store precedes the call; only proof that a claim was never sent
 * lets another take its place. No clock and no lease decides.
 */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #book = new ClaimBook();
  readonly #leases: ClaimLeases;
  readonly #outcomes: OutcomeRecorder;

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    const { store, clock, keepMs = DEFAULT_KEEP_MS } = options;
    this.#leases = new ClaimLeases({ store, clock, keepMs });
    this.#outcomes = new OutcomeRecorder(options);
    options.handlers.on("claimQueryRequest", (req) => this.#onQuery(req));
  }

  /**
   * Runs a call or replays its recorded answer.
   *
   * @throws RouterError `store_unavailable` (not run),
   *   `idempotency_key_reused`, `call_in_progress`, `outcome_unknown`, or what
   *   `send` threw where the call was not run.
   */
  async run(call: ClaimedCall): Promise<ClaimedAnswer> {
    const { member, service, key } = call;
    const storeKey = CLAIM_PREFIX + sha256Hex(
      JSON.stringify([member, service, key]),
    );
    const claimed = await this.#claim(storeKey, call);
    return "record" in claimed ? await this.#send(claimed, call) : claimed;
  }

  /** Waits until recorded answers are written or can no longer be. */
  async close(): Promise<void> {
    await this.#outcomes.close();
  }

  async #claim(
    key: string,
    call: ClaimedCall,
  ): Promise<HeldClaim | ClaimedAnswer> {
    const first = await this.#write(key, call, { kind: "absent", key });
    if (first.held !== undefined) {
      return first.held;
    }
    const { record, modRevision } = first.found;
    if (record.fingerprint !== call.fingerprint) {
      throw new RouterError(
        "idempotency_key_reused",
        "another request was made under this idempotency key",
      );
    }
    switch (record.state) {
      case "ran":
        return this.#replay(record.answer);
      case "unknown":
        throw outcomeUnknown();
      case "claimed":
        return await this.#takeOver(key, call, { record, modRevision });
    }
  }

  /** Another's claim gives way only if it was certainly never sent. */
  async #takeOver(
    key: string,
    call: ClaimedCall,
    { record, modRevision }: Found,
  ): Promise<HeldClaim> {
    const state = await this.#ask(record);
    if (state === peerpb.ClaimState.RUNNING) {
      throw new RouterError(
        "call_in_progress",
        "a call under this idempotency key is being run",
        { retryAfterMs: IN_PROGRESS_RETRY_MS },
      );
    }
    if (state !== peerpb.ClaimState.ABANDONED) {
      throw outcomeUnknown();
    }
    const second = await this.#write(key, call, {
      kind: "unchanged",
      key,
      modRevision,
    });
    if (second.held === undefined) {
      throw new RouterError(
        "call_in_progress",
        "another call under this idempotency key came first",
        { retryAfterMs: IN_PROGRESS_RETRY_MS },
      );
    }
    this.#options.metrics.count("claim.taken_over");
    return second.held;
  }

  async #write(
    key: string,
    call: ClaimedCall,
    condition: StoreCondition,
  ): Promise<
    { held: HeldClaim; found?: never } | { held?: never; found: Found }
  > {
    const { store, membership, rng, clock } = this.#options;
    const leaseId = await this.#leases.current().catch((err: unknown) => {
      throw notClaimed(err);
    });
    const record: ClaimRecord = {
      claimId: ulid(clock.now().getTime(), () => rng.fraction()),
      nodeId: membership.self.id,
      nodeAddress: membership.self.address,
      fingerprint: call.fingerprint,
      state: "claimed",
    };
    this.#book.begin(record.claimId);
    try {
      const result = await store.transact("claim", {
        conditions: [condition],
        writes: [{ kind: "put", key, value: encodeClaim(record), leaseId }],
        readOnFailure: [key],
      });
      if (result.succeeded) {
        const modRevision = result.revision;
        return { held: { key, record, modRevision, leaseId } };
      }
      this.#abandon(record);
      return { found: this.#found(result.entries[0]) };
    } catch (err) {
      return await this.#afterFailedWrite({ key, record, leaseId }, err);
    }
  }

  /** The answer to a claim's write was lost: look whether it is there. */
  async #afterFailedWrite(
    { key, record, leaseId }: Omit<HeldClaim, "modRevision">,
    err: unknown,
  ): Promise<
    { held: HeldClaim; found?: never } | { held?: never; found: Found }
  > {
    if (!isKind(err, "store_outcome_unknown")) {
      this.#abandon(record);
      throw notClaimed(err);
    }
    try {
      const entry = await this.#options.store.get("claim", key);
      const found = entry === undefined ? undefined : this.#found(entry);
      if (entry !== undefined && found?.record.claimId === record.claimId) {
        const { modRevision } = entry;
        return { held: { key, record, modRevision, leaseId } };
      }
      this.#abandon(record);
      if (found !== undefined) {
        return { found };
      }
    } catch (readErr) {
      this.#abandon(record);
      throw notClaimed(readErr);
    }
    throw notClaimed(err);
  }

  #found(
    entry: { value: Uint8Array; modRevision: bigint } | undefined,
  ): Found {
    if (entry === undefined) {
      throw notClaimed(new Error("the claim vanished meanwhile"));
    }
    const { value, modRevision } = entry;
    return { record: decodeClaim(value), modRevision };
  }

  async #send(held: HeldClaim, call: ClaimedCall): Promise<ClaimedAnswer> {
    const { claimId } = held.record;
    this.#book.send(claimId);
    let result: PlainResult;
    try {
      result = await call.send();
    } catch (err) {
      throw this.#afterFailedSend(held, toRouterError(err));
    }
    this.#book.finish(claimId);
    this.#outcomes.record(held, {
      ...held.record,
      state: "ran",
      answer: toRecorded(result),
    });
    return { ...result, replayed: false };
  }

  #afterFailedSend(held: HeldClaim, err: RouterError): RouterError {
    if (err.run === "not-run") {
      this.#abandon(held.record);
      this.#outcomes.remove(held);
      return err;
    }
    this.#book.finish(held.record.claimId);
    this.#outcomes.record(held, { ...held.record, state: "unknown" });
    return outcomeUnknown(err);
  }

  #abandon(record: ClaimRecord): void {
    this.#book.abandon(record.claimId);
    this.#options.metrics.count("claim.abandoned");
  }

  #replay(answer: RecordedAnswer | undefined): ClaimedAnswer {
    this.#options.metrics.count("claim.replayed");
    if (answer?.body === undefined) {
      throw new RouterError(
        "outcome_unknown",
        "the call ran, but its answer was too large to be kept",
        { run: "ran" },
      );
    }
    const body = Buffer.from(answer.body, "base64");
    const { status, headers } = answer;
    return { status, headers, body, replayed: true };
  }

  async #ask(record: ClaimRecord): Promise<peerpb.ClaimState> {
    const { membership, transport } = this.#options;
    const message = create(peerpb.ClaimQueryRequestSchema, {
      claimId: record.claimId,
    });
    if (record.nodeId === membership.self.id) {
      return this.#onQuery(message).state;
    }
    try {
      const res = await transport.call(
        record.nodeAddress,
        "claimQueryRequest",
        { message, timeoutMs: QUERY_TIMEOUT_MS },
      );
      return res.state;
    } catch {
      return peerpb.ClaimState.UNKNOWN;
    }
  }

  #onQuery(req: peerpb.ClaimQueryRequest): peerpb.ClaimQueryResponse {
    const { ABANDONED, RUNNING, UNKNOWN } = peerpb.ClaimState;
    const known = this.#book.state(req.claimId);
    invariant("claim.query_has_id", req.claimId !== "");
    switch (known) {
      case "abandoned":
        return create(peerpb.ClaimQueryResponseSchema, { state: ABANDONED });
      case "running":
      case "finished":
        return create(peerpb.ClaimQueryResponseSchema, { state: RUNNING });
      case undefined:
        return create(peerpb.ClaimQueryResponseSchema, { state: UNKNOWN });
    }
  }
}

interface Found {
  record: ClaimRecord;
  modRevision: bigint;
}

function toRecorded({ status, headers, body }: PlainResult): RecordedAnswer {
  const kept = body.length <= MAX_RECORDED_BYTES;
  return { status, headers, body: kept ? body.toString("base64") : undefined };
}

function notClaimed(cause: unknown): RouterError {
  return new RouterError(
    "store_unavailable",
    "the call could not be claimed and was not run",
    { cause, retryAfterMs: IN_PROGRESS_RETRY_MS },
  );
}

function outcomeUnknown(cause?: unknown): RouterError {
  return new RouterError(
    "outcome_unknown",
    "the call may have run; it is not run again under this key",
    { cause },
  );
}
