import type { AdmissionClient, AdmissionResponse } from "@limpetshed/admission";
import { type Clock, sleep } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import { type ErrorKind, RouterError } from "@limpetshed/errors";
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
} from "@limpetshed/membership";
import type { Metrics } from "@limpetshed/observe";
import { peerpb } from "@limpetshed/peer";
import { findCandidates, rankEndpoints } from "./candidates.ts";
import type { ChatDirectory, ChatLookupResult } from "./chat_directory.ts";
import {
  type Assignment,
  type AssignmentOutcome,
  PlacementPolicy,
  type PlacementRequest,
} from "./placement_policy.ts";

const { AdmitResult, Priority, WorkOutcome } = peerpb;

/** Options of {@linkcode OwnerPlacement}. */
export interface OwnerPlacementOptions {
  clock: Clock;
  metrics: Metrics;
  membership: Membership;
  directory: EndpointDirectory;
  chats: ChatDirectory;
  admissions: AdmissionClient;
  config: () => ConfigSnapshot;
}

/** Number of endpoints that share the chats with the same long prefix. */
const PREFIX_GROUP_SIZE = 3;
/** Endpoints tried per round, in addition to the chat's last endpoint. */
const MAX_TRIED_ENDPOINTS = 8;
/** How long an endpoint that is out of service is skipped. */
const BACKOFF_MS = 500;
const NOT_OWNER_RETRY_DELAY_MS = 60;
const MAX_NOT_OWNER_RETRIES = 4;
const RETRY_AFTER_MS = 1_000;
/** Delay before the candidates are computed again. */
const ROUND_DELAY_MS = 200;
const UNKNOWN_CHAT: ChatLookupResult = {
  lastEndpointId: undefined,
  losses: 0,
  quarantined: false,
};

interface Candidate {
  info: EndpointInfo;
  /** Maximum wait for capacity at this endpoint, in milliseconds. */
  waitMs: number;
}

interface PlacementSearch {
  req: PlacementRequest;
  chat: ChatLookupResult;
  notOwnerCount: number;
  /** Least loaded of the endpoints found at their limit or settling. */
  leastLoaded: { info: EndpointInfo; inFlight: number } | undefined;
  /**
   * An owner was unreachable, or nodes disagreed about the owner; a later round
   * may succeed.
   */
  hasRetryableFailure: boolean;
}

/**
 * Prefers the endpoint where a chat last ran. Every request needs admission
 * from the endpoint's owner.
 */
export class OwnerPlacement extends PlacementPolicy {
  readonly #options: OwnerPlacementOptions;
  readonly #backoffUntilMs = new Map<string, number>();

  constructor(options: OwnerPlacementOptions) {
    super();
    this.#options = options;
  }

  async place(req: PlacementRequest): Promise<Assignment> {
    const { chats, clock } = this.#options;
    const deadlineMs = clock.monotonicMs() + req.maxWaitMs;
    const chat = req.keys === undefined
      ? UNKNOWN_CHAT
      : await chats.lookup(req.keys.chatKey, req.fingerprint);
    if (chat.quarantined) {
      throw quarantinedError();
    }
    const search: PlacementSearch = {
      req,
      chat,
      notOwnerCount: 0,
      leastLoaded: undefined,
      hasRetryableFailure: false,
    };
    for (;;) {
      for (const candidate of this.#listCandidates(req, chat)) {
        const assignment = await this.#requestAdmission(search, candidate);
        if (assignment !== undefined) {
          return assignment;
        }
      }
      const assignment = await this.#waitAtLeastLoaded(search, deadlineMs);
      if (assignment !== undefined) {
        return assignment;
      }
    }
  }

  /**
   * Lists the endpoints to try. The chat's last endpoint comes first. The wait
   * for it is limited to the prefill time that its cached prompt would save.
   */
  #listCandidates(req: PlacementRequest, chat: ChatLookupResult): Candidate[] {
    const { directory, config, membership, clock } = this.#options;
    const snapshot = config();
    const { endpoints, allZonesOut } = findCandidates({
      directory,
      config: snapshot,
      service: req.service,
      region: membership.self.region,
      exclude: req.exclude,
    });
    if (endpoints.length === 0) {
      throw allZonesOut
        ? refusalError("zone_out")
        : refusalError("no_endpoint");
    }
    const nowMs = clock.monotonicMs();
    const notBackedOff = endpoints.filter((info) =>
      (this.#backoffUntilMs.get(info.id) ?? 0) <= nowMs
    );
    const usable = notBackedOff.length > 0 ? notBackedOff : endpoints;
    const ranked = this.#rank(req, usable);
    const last = usable.find((info) => info.id === chat.lastEndpointId);
    const others = ranked.filter((info) => info !== last).slice(
      0,
      MAX_TRIED_ENDPOINTS,
    );
    const prefillMs = snapshot.service(req.service)?.prefill_ms_per_token ?? 0;
    const savedPrefillMs = Math.floor(req.promptTokens * prefillMs);
    const waitMs = Math.min(savedPrefillMs, req.maxWaitMs);
    return [
      ...(last === undefined ? [] : [{ info: last, waitMs }]),
      ...others.map((info) => ({ info, waitMs: 0 })),
    ];
  }

  /**
   * Ranks chats with the same long prefix onto a small group of endpoints,
   * which then cache the prefix. Within the group, and beyond it when the group
   * is at its limit, each chat has its own order, which spreads the load.
   */
  #rank(
    req: PlacementRequest,
    usable: readonly EndpointInfo[],
  ): EndpointInfo[] {
    const { keys, fingerprint } = req;
    if (keys === undefined) {
      return rankEndpoints(fingerprint, usable);
    }
    if (keys.prefixKey === undefined) {
      return rankEndpoints(keys.chatKey, usable);
    }
    const byPrefix = rankEndpoints(keys.prefixKey, usable);
    return [
      ...rankEndpoints(keys.chatKey, byPrefix.slice(0, PREFIX_GROUP_SIZE)),
      ...rankEndpoints(keys.chatKey, byPrefix.slice(PREFIX_GROUP_SIZE)),
    ];
  }

  async #requestAdmission(
    search: PlacementSearch,
    { info, waitMs }: Candidate,
  ): Promise<Assignment | undefined> {
    const { req, chat } = search;
    const response = await this.#options.admissions.request({
      endpoint: info,
      priority: req.priority === "share" ? Priority.SHARE : Priority.SPARE,
      fingerprint: req.fingerprint,
      suspect: chat.losses > 0,
      waitMs: Math.floor(waitMs),
    });
    if (response.result === AdmitResult.GRANTED) {
      return this.#createAssignment(search, info, response.admissionId);
    }
    return await this.#handleRefusal(search, { info, waitMs }, response);
  }

  async #handleRefusal(
    search: PlacementSearch,
    candidate: Candidate,
    response: AdmissionResponse,
  ): Promise<Assignment | undefined> {
    const { metrics, clock } = this.#options;
    const { info } = candidate;
    switch (response.result) {
      case AdmitResult.AT_LIMIT:
      case AdmitResult.SETTLING: {
        const settling = response.result === AdmitResult.SETTLING;
        metrics.countRetry(settling ? "settling" : "admission_at_limit");
        const { inFlight } = response;
        if (
          search.leastLoaded === undefined ||
          inFlight < search.leastLoaded.inFlight
        ) {
          search.leastLoaded = { info, inFlight };
        }
        return undefined;
      }
      case AdmitResult.NOT_OWNER:
        metrics.countRetry("not_owner");
        return await this.#retryNotOwner(search, candidate);
      case "unreachable":
        metrics.countRetry("peer_unreachable");
        search.hasRetryableFailure = true;
        return undefined;
      case AdmitResult.QUARANTINED:
        throw quarantinedError();
      case AdmitResult.NOT_IN_SERVICE:
      case AdmitResult.ZONE_OUT:
        metrics.countRetry("out_of_service");
        this.#backoffUntilMs.set(
          info.id,
          clock.monotonicMs() + BACKOFF_MS,
        );
        return undefined;
      case AdmitResult.GRANTED:
      case AdmitResult.UNSPECIFIED:
        return undefined;
    }
  }

  /** Retries after a delay: nodes briefly disagree about a new owner. */
  async #retryNotOwner(
    search: PlacementSearch,
    candidate: Candidate,
  ): Promise<Assignment | undefined> {
    search.notOwnerCount += 1;
    if (search.notOwnerCount > MAX_NOT_OWNER_RETRIES) {
      search.hasRetryableFailure = true;
      return undefined;
    }
    await sleep(this.#options.clock, NOT_OWNER_RETRY_DELAY_MS);
    return await this.#requestAdmission(search, candidate);
  }

  /** Waits at the least loaded endpoint; undefined starts another round. */
  async #waitAtLeastLoaded(
    search: PlacementSearch,
    deadlineMs: number,
  ): Promise<Assignment | undefined> {
    const { clock } = this.#options;
    const remainingMs = deadlineMs - clock.monotonicMs();
    const { leastLoaded, hasRetryableFailure } = search;
    if (
      remainingMs <= 0 || (leastLoaded === undefined && !hasRetryableFailure)
    ) {
      const noEndpoint = leastLoaded === undefined && !hasRetryableFailure;
      throw refusalError(noEndpoint ? "no_endpoint" : "admission_refused");
    }
    search.leastLoaded = undefined;
    search.hasRetryableFailure = false;
    search.notOwnerCount = 0;
    const assignment = leastLoaded === undefined
      ? undefined
      : await this.#requestAdmission(search, {
        info: leastLoaded.info,
        waitMs: remainingMs,
      });
    if (assignment === undefined) {
      await sleep(clock, Math.min(remainingMs, ROUND_DELAY_MS));
    }
    return assignment;
  }

  #createAssignment(
    { req, chat }: PlacementSearch,
    endpoint: EndpointInfo,
    admissionId: bigint,
  ): Assignment {
    const { admissions, chats } = this.#options;
    let finished = false;
    const finish = (outcome: AssignmentOutcome): void => {
      if (finished) {
        return;
      }
      finished = true;
      admissions.release(admissionId, WORK_OUTCOMES[outcome]);
      if (req.keys === undefined) {
        return;
      }
      const { chatKey } = req.keys;
      const moved = chat.lastEndpointId !== endpoint.id;
      if (moved && (outcome === "completed" || outcome === "cancelled")) {
        chats.record(chatKey, endpoint.id);
      }
      const lost = outcome === "connection_lost";
      if (lost || (outcome === "completed" && chat.losses > 0)) {
        void chats.reportLoss(chatKey, {
          fingerprint: req.fingerprint,
          endpointId: endpoint.id,
          completed: !lost,
        });
      }
    };
    return { endpoint, finish };
  }
}

const WORK_OUTCOMES: Readonly<Record<AssignmentOutcome, peerpb.WorkOutcome>> = {
  completed: WorkOutcome.COMPLETED,
  cancelled: WorkOutcome.CANCELLED,
  not_sent: WorkOutcome.NOT_SENT,
  failed: WorkOutcome.FAILED,
  connection_lost: WorkOutcome.CONNECTION_LOST,
};

const REFUSAL_MESSAGES: Partial<Record<ErrorKind, string>> = {
  zone_out: "every availability zone of this service is out",
  no_endpoint: "no endpoint of this service is in service",
  admission_refused: "all endpoints of this service are at their limit",
};

function refusalError(kind: ErrorKind): RouterError {
  return new RouterError(kind, REFUSAL_MESSAGES[kind] ?? kind, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function quarantinedError(): RouterError {
  return new RouterError(
    "quarantined",
    "endpoints were lost while running this request; it is refused for a time",
  );
}
