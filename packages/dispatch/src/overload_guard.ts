import type { AccountLoads } from "./account_loads.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadBoard } from "./load_board.ts";
import type { ServicePace } from "./service_pace.ts";

/** Why a request is refused although endpoints are in service. */
export type OverloadRefusal =
  /** It would wait for longer than its caller does. */
  | "hopeless"
  /** It would be late and make others late. */
  | "overloaded"
  /** The same, and its account has more than its share in flight. */
  | "above_share";

/** A request before it is placed. */
export interface OverloadRequest {
  service: string;
  account: string | undefined;
  /** Rank, 0 is most urgent. */
  priority: number;
  /** Shortest target latency of the service's routes, milliseconds. */
  targetLatencyMs: number;
  /** Time left to its caller, milliseconds. */
  leftMs: number;
  candidates: readonly Endpoint[];
}

/** Part of the target latency that requests may wait for a place, by rank, the
 * last for all further ones; the rest is for the work itself. */
const WAIT_PARTS = [0.75, 0.55, 0.4] as const;
/** Part of that for an account above its share. */
const ABOVE_SHARE_PART = 0.25;

/**
 * Answers more requests than endpoints have places for. Without it each waits
 * in the endpoints' queues behind all others and all are late. Requests that
 * would wait too long are refused at once, less urgent ones and those of an
 * account above its share first, so that the rest is served in time. As long
 * as any endpoint has a free place nothing is refused.
 */
export class OverloadGuard {
  readonly #board: LoadBoard;
  readonly #pace: ServicePace;
  readonly #accounts: AccountLoads;

  constructor({ board, pace, accounts }: {
    board: LoadBoard;
    pace: ServicePace;
    accounts: AccountLoads;
  }) {
    this.#board = board;
    this.#pace = pace;
    this.#accounts = accounts;
  }

  /** Why the request is refused, and for how long; undefined if it is not. */
  judge(
    req: OverloadRequest,
  ): { refusal: OverloadRefusal; waitMs: number } | undefined {
    const waitMs = this.#waitMs(req);
    if (waitMs === 0) {
      return undefined;
    }
    if (waitMs >= req.leftMs) {
      return { refusal: "hopeless", waitMs };
    }
    const isAbove = req.account !== undefined &&
      this.#accounts.isAboveShare(req.service, req.account);
    const rank = Math.min(Math.floor(req.priority), WAIT_PARTS.length - 1);
    const allowedMs = WAIT_PARTS[rank]! * req.targetLatencyMs *
      (isAbove ? ABOVE_SHARE_PART : 1);
    return waitMs <= allowedMs
      ? undefined
      : { refusal: isAbove ? "above_share" : "overloaded", waitMs };
  }

  /** Shortest wait for a place, milliseconds. With `load` requests at an
   * endpoint, each there for the mean time, one leaves every `mean / load`. */
  #waitMs({ service, candidates }: OverloadRequest): number {
    const meanMs = this.#pace.meanHeldMs(service);
    let shortest = Number.POSITIVE_INFINITY;
    for (const { key, entry } of candidates) {
      const load = this.#board.total(key);
      if (load < entry.slots) {
        return 0;
      }
      const ahead = load - entry.slots + 1;
      shortest = Math.min(shortest, ahead / load * meanMs);
    }
    return shortest;
  }
}
