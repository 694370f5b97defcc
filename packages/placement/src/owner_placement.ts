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
import { findCandidates, rankEndpoints } from "./candidate_list.ts";
import type { ChatDirectory, ChatKnowledge } from "./chat_directory.ts";
import {
  type Place,
  Placement,
  type PlaceOutcome,
  type PlaceRequest,
} from "./placement.ts";

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

/** Endpoints among which chats with one long leading text are kept. */
const PREFIX_GROUP = 3;
/** Endpoints asked, beside the last place, before the request waits. */
const MAX_ASKED = 8;
const AVOID_MS = 500;
const DISAGREEMENT_PAUSE_MS = 60;
const MAX_DISAGREEMENTS = 4;
const RETRY_AFTER_MS = 1_000;
/** Pause before looking around again. */
const NEXT_ROUND_PAUSE_MS = 200;
const NOTHING_KNOWN: ChatKnowledge = {
  lastEndpointId: undefined,
  losses: 0,
  quarantined: false,
};

interface Candidate {
  info: EndpointInfo;
  /** Longest wait for room here, in milliseconds. */
  waitMs: number;
}

interface Search {
  req: PlaceRequest;
  knowledge: ChatKnowledge;
  disagreements: number;
  best: { info: EndpointInfo; inFlight: number } | undefined;
  /** Some owner gave no answer that counts; it may give one soon. */
  unanswered: boolean;
}

/**
 * Sends returning chats to where they last ran and admits every request
 * through the endpoint's owner.
 */
export class OwnerPlacement extends Placement {
  readonly #options: OwnerPlacementOptions;
  readonly #avoidUntilMs = new Map<string, number>();

  constructor(options: OwnerPlacementOptions) {
    super();
    this.#options = options;
  }

  async place(req: PlaceRequest): Promise<Place> {
    const { chats, clock } = this.#options;
    const deadlineMs = clock.monotonicMs() + req.maxWaitMs;
    const knowledge = req.keys === undefined
      ? NOTHING_KNOWN
      : await chats.lookup(req.keys.chatKey, req.fingerprint);
    if (knowledge.quarantined) {
      throw quarantined();
    }
    const search: Search = {
      req,
      knowledge,
      disagreements: 0,
      best: undefined,
      unanswered: false,
    };
    for (;;) {
      for (const candidate of this.#candidates(req, knowledge)) {
        const place = await this.#ask(search, candidate);
        if (place !== undefined) {
          return place;
        }
      }
      const place = await this.#waitAtBest(search, deadlineMs);
      if (place !== undefined) {
        return place;
      }
    }
  }

  #candidates(req: PlaceRequest, knowledge: ChatKnowledge): Candidate[] {
    const { directory, config, membership, clock } = this.#options;
    const snapshot = config();
    const { endpoints, onlyInZonesOut } = findCandidates({
      directory,
      config: snapshot,
      service: req.service,
      region: membership.self.region,
      exclude: req.exclude,
    });
    if (endpoints.length === 0) {
      throw onlyInZonesOut ? refusal("zone_out") : refusal("no_endpoint");
    }
    const nowMs = clock.monotonicMs();
    const open = endpoints.filter((info) =>
      (this.#avoidUntilMs.get(info.id) ?? 0) <= nowMs
    );
    const usable = open.length > 0 ? open : endpoints;
    const ranked = this.#rank(req, usable);
    const last = usable.find((info) => info.id === knowledge.lastEndpointId);
    const others = ranked.filter((info) => info !== last).slice(0, MAX_ASKED);
    const prefillMs = snapshot.service(req.service)?.prefill_ms_per_token ?? 0;
    const savedMs = Math.floor(req.promptTokens * prefillMs);
    const waitMs = Math.min(savedMs, req.maxWaitMs);
    return [
      ...(last === undefined ? [] : [{ info: last, waitMs }]),
      ...others.map((info) => ({ info, waitMs: 0 })),
    ];
  }

  /**
   * New chats with one long leading text share a few endpoints, which then
   * hold that text. Within the group, and beyond it when the group is at its
   * limit, each chat has an order of its own, so that load spreads.
   */
  #rank(req: PlaceRequest, usable: readonly EndpointInfo[]): EndpointInfo[] {
    const { keys, fingerprint } = req;
    if (keys === undefined) {
      return rankEndpoints(fingerprint, usable);
    }
    if (keys.prefixKey === undefined) {
      return rankEndpoints(keys.chatKey, usable);
    }
    const byPrefix = rankEndpoints(keys.prefixKey, usable);
    return [
      ...rankEndpoints(keys.chatKey, byPrefix.slice(0, PREFIX_GROUP)),
      ...rankEndpoints(keys.chatKey, byPrefix.slice(PREFIX_GROUP)),
    ];
  }

  async #ask(
    search: Search,
    { info, waitMs }: Candidate,
  ): Promise<Place | undefined> {
    const { req, knowledge } = search;
    const answer = await this.#options.admissions.request({
      endpoint: info,
      priority: req.priority === "share" ? Priority.SHARE : Priority.SPARE,
      fingerprint: req.fingerprint,
      suspect: knowledge.losses > 0,
      waitMs: Math.floor(waitMs),
    });
    if (answer.result === AdmitResult.GRANTED) {
      return this.#makePlace(search, info, answer.admissionId);
    }
    return await this.#refused(search, { info, waitMs }, answer);
  }

  async #refused(
    search: Search,
    candidate: Candidate,
    answer: AdmissionResponse,
  ): Promise<Place | undefined> {
    const { metrics, clock } = this.#options;
    const { info } = candidate;
    switch (answer.result) {
      case AdmitResult.AT_LIMIT:
      case AdmitResult.SETTLING: {
        const settling = answer.result === AdmitResult.SETTLING;
        metrics.countRetry(settling ? "settling" : "admission_at_limit");
        const { inFlight } = answer;
        if (search.best === undefined || inFlight < search.best.inFlight) {
          search.best = { info, inFlight };
        }
        return undefined;
      }
      case AdmitResult.NOT_OWNER:
        metrics.countRetry("not_owner");
        return await this.#askAgain(search, candidate);
      case "unreachable":
        metrics.countRetry("peer_unreachable");
        search.unanswered = true;
        return undefined;
      case AdmitResult.QUARANTINED:
        throw quarantined();
      case AdmitResult.NOT_IN_SERVICE:
      case AdmitResult.ZONE_OUT:
        metrics.countRetry("out_of_service");
        this.#avoidUntilMs.set(info.id, clock.monotonicMs() + AVOID_MS);
        return undefined;
      case AdmitResult.GRANTED:
      case AdmitResult.UNSPECIFIED:
        return undefined;
    }
  }

  /** Nodes disagree about the owner for a moment after a change. */
  async #askAgain(
    search: Search,
    candidate: Candidate,
  ): Promise<Place | undefined> {
    search.disagreements += 1;
    if (search.disagreements > MAX_DISAGREEMENTS) {
      search.unanswered = true;
      return undefined;
    }
    await sleep(this.#options.clock, DISAGREEMENT_PAUSE_MS);
    return await this.#ask(search, candidate);
  }

  /** Waits where there is most room; undefined means: look around again. */
  async #waitAtBest(
    search: Search,
    deadlineMs: number,
  ): Promise<Place | undefined> {
    const { clock } = this.#options;
    const remainingMs = deadlineMs - clock.monotonicMs();
    const { best, unanswered } = search;
    if (remainingMs <= 0 || (best === undefined && !unanswered)) {
      const none = best === undefined && !unanswered;
      throw refusal(none ? "no_endpoint" : "admission_refused");
    }
    search.best = undefined;
    search.unanswered = false;
    search.disagreements = 0;
    const place = best === undefined
      ? undefined
      : await this.#ask(search, { info: best.info, waitMs: remainingMs });
    if (place === undefined) {
      await sleep(clock, Math.min(remainingMs, NEXT_ROUND_PAUSE_MS));
    }
    return place;
  }

  #makePlace(
    { req, knowledge }: Search,
    endpoint: EndpointInfo,
    admissionId: bigint,
  ): Place {
    const { admissions, chats } = this.#options;
    let finished = false;
    const finish = (outcome: PlaceOutcome): void => {
      if (finished) {
        return;
      }
      finished = true;
      admissions.release(admissionId, OUTCOMES[outcome]);
      if (req.keys === undefined) {
        return;
      }
      const { chatKey } = req.keys;
      const moved = knowledge.lastEndpointId !== endpoint.id;
      if (moved && (outcome === "completed" || outcome === "cancelled")) {
        chats.record(chatKey, endpoint.id);
      }
      const lost = outcome === "connection_lost";
      if (lost || (outcome === "completed" && knowledge.losses > 0)) {
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

const OUTCOMES: Readonly<Record<PlaceOutcome, peerpb.WorkOutcome>> = {
  completed: WorkOutcome.COMPLETED,
  cancelled: WorkOutcome.CANCELLED,
  not_sent: WorkOutcome.NOT_SENT,
  failed: WorkOutcome.FAILED,
  connection_lost: WorkOutcome.CONNECTION_LOST,
};

const REFUSAL_TEXTS: Partial<Record<ErrorKind, string>> = {
  zone_out: "every availability zone of this service is out",
  no_endpoint: "no endpoint of this service is in service",
  admission_refused: "all endpoints of this service are at their limit",
};

function refusal(kind: ErrorKind): RouterError {
  return new RouterError(kind, REFUSAL_TEXTS[kind] ?? kind, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function quarantined(): RouterError {
  return new RouterError(
    "quarantined",
    "endpoints were lost while running this request; it is refused for a time",
  );
}
