import { type Clock, sleep } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import { hasErrorKind, RouterError } from "@limpetshed/errors";
import type { Metrics } from "@limpetshed/observe";
import type {
  Assignment,
  PlacementPolicy,
  PlacementRequest,
} from "@limpetshed/placement";
import {
  type BudgetClient,
  burstTokens,
  type MemberQueue,
  shareExhaustedError,
} from "@limpetshed/shares";

/** Options of {@linkcode PlaceFinder}. */
export interface PlaceFinderOptions {
  clock: Clock;
  metrics: Metrics;
  placement: PlacementPolicy;
  budget: BudgetClient;
  queue: MemberQueue;
  config: () => ConfigSnapshot;
  /** Maximum wait for a place, in milliseconds. */
  queueTimeoutMs: number;
}

/** A request that needs a place on an endpoint. */
export interface FindPlaceRequest {
  member: string;
  /** Estimated cost in tokens. */
  cost: number;
  request: Omit<PlacementRequest, "priority" | "maxWaitMs">;
  signal: AbortSignal;
}

/** A place and the tokens reserved for it from the member's share. */
export interface FoundPlace {
  place: Assignment;
  /** Tokens reserved; 0 for a request placed on spare capacity. */
  reserved: number;
}

const RETRY_INTERVAL_MS = 250;

/**
 * Places requests within their member's share, or on spare capacity once the
 * share is exhausted. Without either, a request waits in its member's queue.
 */
export class PlaceFinder {
  readonly #options: PlaceFinderOptions;

  constructor(options: PlaceFinderOptions) {
    this.#options = options;
  }

  /** Finds a place; see {@linkcode PlacementPolicy.place} for errors. */
  async find(req: FindPlaceRequest): Promise<FoundPlace> {
    const { clock, queue, queueTimeoutMs } = this.#options;
    const deadlineMs = clock.monotonicMs() + queueTimeoutMs;
    const firstTry = queue.sizeOf(req.member) === 0
      ? await this.#try(req, deadlineMs, { spareWaitMs: 0 })
      : undefined;
    if (firstTry?.found !== undefined) {
      return firstTry.found;
    }
    const turn = await queue.acquire(req.member, {
      maxWaitMs: queueTimeoutMs,
      signal: req.signal,
    });
    try {
      return await this.#retryUntil(req, deadlineMs);
    } finally {
      turn.release();
    }
  }

  /** Settles the reservation once the actual cost is known. */
  settle(member: string, found: FoundPlace, spent: number): void {
    if (found.reserved > 0) {
      const { reserved } = found;
      this.#options.budget.settle(member, { reserved, spent });
    }
  }

  async #retryUntil(
    req: FindPlaceRequest,
    deadlineMs: number,
  ): Promise<FoundPlace> {
    const { clock } = this.#options;
    for (;;) {
      const triedAtMs = clock.monotonicMs();
      const { found, retryAfterMs } = await this.#try(req, deadlineMs, {
        spareWaitMs: RETRY_INTERVAL_MS,
      });
      if (found !== undefined) {
        return found;
      }
      if (clock.monotonicMs() + retryAfterMs >= deadlineMs) {
        throw shareExhaustedError(retryAfterMs);
      }
      if (req.signal.aborted) {
        throw new RouterError("caller_cancelled", "the caller went away", {
          run: "not-run",
        });
      }
      const elapsedMs = clock.monotonicMs() - triedAtMs;
      const pauseMs = Math.min(RETRY_INTERVAL_MS, retryAfterMs) - elapsedMs;
      await sleep(clock, pauseMs, { signal: req.signal });
    }
  }

  async #try(
    req: FindPlaceRequest,
    deadlineMs: number,
    { spareWaitMs }: { spareWaitMs: number },
  ): Promise<{ found?: FoundPlace; retryAfterMs: number }> {
    const { budget, config, clock, placement } = this.#options;
    const memberConfig = config().member(req.member);
    const cost = Math.max(
      1,
      Math.min(req.cost, memberConfig ? burstTokens(memberConfig) : 0),
    );
    const { withinShare, retryAfterMs } = await budget.reserve(
      req.member,
      cost,
    );
    if (!withinShare) {
      return { found: await this.#trySpare(req, spareWaitMs), retryAfterMs };
    }
    const maxWaitMs = Math.max(0, deadlineMs - clock.monotonicMs());
    try {
      const place = await placement.place({
        ...req.request,
        priority: "share",
        maxWaitMs,
      });
      return { found: { place, reserved: cost }, retryAfterMs: 0 };
    } catch (err) {
      budget.settle(req.member, { reserved: cost, spent: 0 });
      throw err;
    }
  }

  async #trySpare(
    req: FindPlaceRequest,
    maxWaitMs: number,
  ): Promise<FoundPlace | undefined> {
    const { placement, metrics } = this.#options;
    try {
      const place = await placement.place({
        ...req.request,
        priority: "spare",
        maxWaitMs,
      });
      metrics.count("share.spare_admitted");
      return { place, reserved: 0 };
    } catch (err) {
      if (hasErrorKind(err, "admission_refused")) {
        return undefined;
      }
      throw err;
    }
  }
}
