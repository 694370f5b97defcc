import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { ulid } from "ulid";
import { type Clock, invariant } from "@limpetshed/base";
import { hasErrorKind, RouterError, toRouterError } from "@limpetshed/errors";
import { type Rng, sha256Hex } from "@limpetshed/hashing";
import type { Membership } from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { StoreClient, StoreCondition } from "@limpetshed/store";
import { LocalClaims } from "./local_claims.ts";
import { ClaimLeases } from "./claim_leases.ts";
import {
  type ClaimRecord,
  decodeClaim,
  encodeClaim,
  type RecordedResponse,
} from "./claim_record.ts";
import { type HeldClaim, OutcomeRecorder } from "./outcome_recorder.ts";

/** Options of {@linkcode IdempotentCallRunner}. */
export interface IdempotentCallRunnerOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  metrics: Metrics;
  store: StoreClient;
  membership: Membership;
  transport: PeerTransport;
  handlers: PeerHandlers;
  /** Minimum retention of a claim, in milliseconds. */
  retentionMs?: number;
}

/** A call to run at most once per member, service and key. */
export interface IdempotentCall {
  member: string;
  service: string;
  /** The caller's idempotency key. */
  key: string;
  /** Digest of method, path and body. */
  fingerprint: string;
  /**
   * Sends the call; invoked at most once. A `RouterError` with `run` set to
   * `not-run` guarantees that no byte was sent.
   */
  send: () => Promise<ServiceResponse>;
}

/** Response of the service, with its body buffered. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** Response for the caller. */
export interface IdempotentResponse extends ServiceResponse {
  /** Whether the response was recorded by an earlier call and replayed. */
  replayed: boolean;
}

const CLAIM_KEY_PREFIX = "limpetshed/claim/";
const DEFAULT_RETENTION_MS = 24 * 3_600_000;
const QUERY_TIMEOUT_MS = 1_000;
const MAX_RECORDED_BYTES = 256 * 1_024;
const RETRY_AFTER_MS = 1_000;

/**
 * Runs a call at most once per idempotency key across the fleet. A claim is
 * written to the store before the call is sent. An existing claim is replaced
 * only if the node that made it confirms that it never sent the call; neither
 * clocks nor lease expiry are taken as proof.
 */
export class IdempotentCallRunner {
  readonly #options: IdempotentCallRunnerOptions;
  readonly #localClaims = new LocalClaims();
  readonly #leases: ClaimLeases;
  readonly #outcomes: OutcomeRecorder;

  constructor(options: IdempotentCallRunnerOptions) {
    this.#options = options;
    const { store, clock, retentionMs = DEFAULT_RETENTION_MS } = options;
    this.#leases = new ClaimLeases({ store, clock, retentionMs });
    this.#outcomes = new OutcomeRecorder(options);
    options.handlers.on("claimQueryRequest", (req) => this.#onClaimQuery(req));
  }

  /**
   * Runs a call or replays its recorded response.
   *
   * @throws RouterError `store_unavailable` (not run),
   *   `idempotency_key_reused`, `call_in_progress`, `outcome_unknown`, or
   *   the error of `send` if its `run` is `not-run`.
   */
  async run(call: IdempotentCall): Promise<IdempotentResponse> {
    const { member, service, key } = call;
    const storeKey = CLAIM_KEY_PREFIX + sha256Hex(
      JSON.stringify([member, service, key]),
    );
    const acquired = await this.#acquireClaim(storeKey, call);
    return "record" in acquired
      ? await this.#sendCall(acquired, call)
      : acquired;
  }

  /** Waits until pending outcomes are written or the last attempt failed. */
  async close(): Promise<void> {
    await this.#outcomes.close();
  }

  async #acquireClaim(
    key: string,
    call: IdempotentCall,
  ): Promise<HeldClaim | IdempotentResponse> {
    const first = await this.#writeClaim(key, call, { kind: "absent", key });
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
        throw outcomeUnknownError();
      case "claimed":
        return await this.#takeOver(key, call, { record, modRevision });
    }
  }

  /** Replaces an existing claim if its call was provably never sent. */
  async #takeOver(
    key: string,
    call: IdempotentCall,
    { record, modRevision }: ExistingClaim,
  ): Promise<HeldClaim> {
    const state = await this.#queryClaimState(record);
    if (state === peerpb.ClaimState.RUNNING) {
      throw new RouterError(
        "call_in_progress",
        "a call under this idempotency key is being run",
        { retryAfterMs: RETRY_AFTER_MS },
      );
    }
    if (state !== peerpb.ClaimState.ABANDONED) {
      throw outcomeUnknownError();
    }
    const second = await this.#writeClaim(key, call, {
      kind: "unchanged",
      key,
      modRevision,
    });
    if (second.held === undefined) {
      throw new RouterError(
        "call_in_progress",
        "another call under this idempotency key came first",
        { retryAfterMs: RETRY_AFTER_MS },
      );
    }
    this.#options.metrics.count("claim.taken_over");
    return second.held;
  }

  async #writeClaim(
    key: string,
    call: IdempotentCall,
    condition: StoreCondition,
  ): Promise<
    { held: HeldClaim; found?: never } | { held?: never; found: ExistingClaim }
  > {
    const { store, membership, rng, clock } = this.#options;
    const leaseId = await this.#leases.currentId().catch((err: unknown) => {
      throw claimFailedError(err);
    });
    const record: ClaimRecord = {
      claimId: ulid(clock.now().getTime(), () => rng.fraction()),
      nodeId: membership.self.id,
      nodeAddress: membership.self.address,
      fingerprint: call.fingerprint,
      state: "claimed",
    };
    this.#localClaims.begin(record.claimId);
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
      this.#abandonClaim(record);
      return { found: this.#toExistingClaim(result.entries[0]) };
    } catch (err) {
      return await this.#afterFailedWrite({ key, record, leaseId }, err);
    }
  }

  /** If the write's outcome is unknown, reads back whether it was applied. */
  async #afterFailedWrite(
    { key, record, leaseId }: Omit<HeldClaim, "modRevision">,
    err: unknown,
  ): Promise<
    { held: HeldClaim; found?: never } | { held?: never; found: ExistingClaim }
  > {
    if (!hasErrorKind(err, "store_outcome_unknown")) {
      this.#abandonClaim(record);
      throw claimFailedError(err);
    }
    try {
      const entry = await this.#options.store.get("claim", key);
      const found = entry === undefined
        ? undefined
        : this.#toExistingClaim(entry);
      if (entry !== undefined && found?.record.claimId === record.claimId) {
        const { modRevision } = entry;
        return { held: { key, record, modRevision, leaseId } };
      }
      this.#abandonClaim(record);
      if (found !== undefined) {
        return { found };
      }
    } catch (readErr) {
      this.#abandonClaim(record);
      throw claimFailedError(readErr);
    }
    throw claimFailedError(err);
  }

  #toExistingClaim(
    entry: { value: Uint8Array; modRevision: bigint } | undefined,
  ): ExistingClaim {
    if (entry === undefined) {
      throw claimFailedError(
        new Error("the existing claim was deleted before it could be read"),
      );
    }
    const { value, modRevision } = entry;
    return { record: decodeClaim(value), modRevision };
  }

  async #sendCall(
    held: HeldClaim,
    call: IdempotentCall,
  ): Promise<IdempotentResponse> {
    const { claimId } = held.record;
    this.#localClaims.markSent(claimId);
    let result: ServiceResponse;
    try {
      result = await call.send();
    } catch (err) {
      throw this.#afterFailedSend(held, toRouterError(err));
    }
    this.#localClaims.markFinished(claimId);
    this.#outcomes.record(held, {
      ...held.record,
      state: "ran",
      answer: toRecordedResponse(result),
    });
    return { ...result, replayed: false };
  }

  /** Abandons the claim or records the outcome; returns the error to throw. */
  #afterFailedSend(held: HeldClaim, err: RouterError): RouterError {
    if (err.run === "not-run") {
      this.#abandonClaim(held.record);
      this.#outcomes.remove(held);
      return err;
    }
    this.#localClaims.markFinished(held.record.claimId);
    this.#outcomes.record(held, { ...held.record, state: "unknown" });
    return outcomeUnknownError(err);
  }

  #abandonClaim(record: ClaimRecord): void {
    this.#localClaims.markAbandoned(record.claimId);
    this.#options.metrics.count("claim.abandoned");
  }

  #replay(response: RecordedResponse | undefined): IdempotentResponse {
    this.#options.metrics.count("claim.replayed");
    if (response?.body === undefined) {
      throw new RouterError(
        "outcome_unknown",
        "the call ran, but its answer was too large to be kept",
        { run: "ran" },
      );
    }
    const body = Buffer.from(response.body, "base64");
    const { status, headers } = response;
    return { status, headers, body, replayed: true };
  }

  async #queryClaimState(record: ClaimRecord): Promise<peerpb.ClaimState> {
    const { membership, transport } = this.#options;
    const req = create(peerpb.ClaimQueryRequestSchema, {
      claimId: record.claimId,
    });
    if (record.nodeId === membership.self.id) {
      return this.#onClaimQuery(req).state;
    }
    try {
      const res = await transport.call(
        record.nodeAddress,
        "claimQueryRequest",
        { message: req, timeoutMs: QUERY_TIMEOUT_MS },
      );
      return res.state;
    } catch {
      return peerpb.ClaimState.UNKNOWN;
    }
  }

  #onClaimQuery(req: peerpb.ClaimQueryRequest): peerpb.ClaimQueryResponse {
    const { ABANDONED, RUNNING, UNKNOWN } = peerpb.ClaimState;
    const state = this.#localClaims.state(req.claimId);
    invariant("claim.query_has_id", req.claimId !== "");
    switch (state) {
      case "abandoned":
        return create(peerpb.ClaimQueryResponseSchema, { state: ABANDONED });
      case "running":
      // The querying node found no outcome in the store; it may yet be written.
      case "finished":
        return create(peerpb.ClaimQueryResponseSchema, { state: RUNNING });
      case undefined:
        return create(peerpb.ClaimQueryResponseSchema, { state: UNKNOWN });
    }
  }
}

interface ExistingClaim {
  record: ClaimRecord;
  modRevision: bigint;
}

function toRecordedResponse(
  { status, headers, body }: ServiceResponse,
): RecordedResponse {
  const fits = body.length <= MAX_RECORDED_BYTES;
  return { status, headers, body: fits ? body.toString("base64") : undefined };
}

function claimFailedError(cause: unknown): RouterError {
  return new RouterError(
    "store_unavailable",
    "the call could not be claimed and was not run",
    { cause, retryAfterMs: RETRY_AFTER_MS },
  );
}

function outcomeUnknownError(cause?: unknown): RouterError {
  return new RouterError(
    "outcome_unknown",
    "the call may have run; it is not run again under this key",
    { cause },
  );
}
