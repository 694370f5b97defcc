import { type Clock, sleep } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import { hasErrorKind, RouterError } from "@limpetshed/errors";
import type { Metrics } from "@limpetshed/observe";
import type { Place, Placement, PlaceRequest } from "@limpetshed/placement";
import {
  type BudgetClient,
  burstOf,
  type MemberQueue,
  shareExhausted,
} from "@limpetshed/shares";

/** Options of {@linkcode PlaceFinder}. */
export interface PlaceFinderOptions {
  clock: Clock;
  metrics: Metrics;
  placement: Placement;
  budget: BudgetClient;
  queue: MemberQueue;
  config: () => ConfigSnapshot;
  /** Longest wait for a place, in milliseconds. */
  queueTimeoutMs: number;
}

/** What a place is looked for. */
export interface FindRequest {
  member: string;
  /** Tokens that the work may cost, estimated. */
  cost: number;
  request: Omit<PlaceRequest, "priority" | "maxWaitMs">;
  signal: AbortSignal;
}

/** A place, and what was reserved of the member's share for it. */
export interface FoundPlace {
  place: Place;
  /** Tokens reserved; 0 for work above the share. */
  reserved: number;
}

const TRY_INTERVAL_MS = 250;

/**
 * Finds a place within the member's share, or on idle capacity above it, or
 * has the request wait in its member's queue for either.
 */
export class PlaceFinder {
  readonly #options: PlaceFinderOptions;

  constructor(options: PlaceFinderOptions) {
    this.#options = options;
  }

  /** Finds a place; see {@linkcode Placement.place} for errors. */
  async find(req: FindRequest): Promise<FoundPlace> {
    const { clock, queue, queueTimeoutMs } = this.#options;
    const deadlineMs = clock.monotonicMs() + queueTimeoutMs;
    const first = queue.sizeOf(req.member) === 0
      ? await this.#try(req, deadlineMs, { spareWaitMs: 0 })
      : undefined;
    if (first?.found !== undefined) {
      return first.found;
    }
    const turn = await queue.enter(req.member, {
      maxWaitMs: queueTimeoutMs,
      signal: req.signal,
    });
    try {
      return await this.#tryUntil(req, deadlineMs);
    } finally {
      turn.leave();
    }
  }

  /** Corrects the reservation once the work's true cost is known. */
  settle(member: string, found: FoundPlace, spent: number): void {
    if (found.reserved > 0) {
      const { reserved } = found;
      this.#options.budget.settle(member, { reserved, spent });
    }
  }

  async #tryUntil(req: FindRequest, deadlineMs: number): Promise<FoundPlace> {
    const { clock } = this.#options;
    for (;;) {
      const triedAtMs = clock.monotonicMs();
      const { found, retryAfterMs } = await this.#try(req, deadlineMs, {
        spareWaitMs: TRY_INTERVAL_MS,
      });
      if (found !== undefined) {
        return found;
      }
      if (clock.monotonicMs() + retryAfterMs >= deadlineMs) {
        throw shareExhausted(retryAfterMs);
      }
      if (req.signal.aborted) {
        throw new RouterError("caller_cancelled", "the caller went away", {
          run: "not-run",
        });
      }
      const sinceMs = clock.monotonicMs() - triedAtMs;
      const pauseMs = Math.min(TRY_INTERVAL_MS, retryAfterMs) - sinceMs;
      await sleep(clock, pauseMs, { signal: req.signal });
    }
  }

  async #try(
    req: FindRequest,
    deadlineMs: number,
    { spareWaitMs }: { spareWaitMs: number },
  ): Promise<{ found?: FoundPlace; retryAfterMs: number }> {
    const { budget, config, clock, placement } = this.#options;
    const terms = config().member(req.member);
    const cost = Math.max(1, Math.min(req.cost, terms ? burstOf(terms) : 0));
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
    req: FindRequest,
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
