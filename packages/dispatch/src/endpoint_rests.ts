import type { Clock } from "@limpetshed/base";
import { nodeRank } from "./fleet_share.ts";

/** Options of {@linkcode EndpointRests}. */
export interface EndpointRestsOptions {
  clock: Clock;
  nodeId: string;
  /** Ids of all nodes that may exist, including this one; a new array after each
   * change. */
  nodeIds: () => readonly string[];
  /** Called when a rest begins or is prolonged. */
  onChange?: (change: RestChange) => void;
}

/** A rest that has begun or was prolonged, for logs. */
export interface RestChange {
  /** Key of the endpoint. */
  endpoint: string;
  outcome: "began" | "prolonged";
  /** Milliseconds from now until its end, as far as they are believed. */
  restMs: number;
  /** Milliseconds that the endpoint named. */
  namedMs: number;
}

/** How fast an endpoint takes requests. */
export interface EndpointPace {
  /** Requests that it executes concurrently. */
  slots: number;
  /** Mean duration of a request, milliseconds; 0 if not known. */
  meanMs: number;
}

/** Longest rest that is believed. An endpoint that is away for longer leaves; the
 * request after it is a trial, so that a longer rest is asked for again. */
const MAX_REST_MS = 300_000;
/** Longest time over which the nodes of a fleet come back to an endpoint. */
const MAX_RETURN_MS = 10_000;
/** Assumed while no duration is known. */
const DEFAULT_MEAN_MS = 500;
/** Time without a refusal after which an endpoint is used like all others. */
const PROBATION_MS = 5_000;
/** Pause after a refusal during the return that names no rest; doubles with each
 * further one. */
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4_000;
/** Bounds the memory for endpoints that are gone. */
const MAX_ENDPOINTS = 10_000;

interface RestState {
  /** Monotonic time at which the rest ends. */
  untilMs: number;
  /** Monotonic time from which this node may send again; `undefined` until its turn
   * is drawn at the end of the rest. */
  resumesMs: number | undefined;
  /** Requests that may wait for their answers at once. */
  window: number;
  /** Requests of this node that wait for their answers. */
  waiting: number;
  /** Monotonic time of the first answer after the rest. */
  answeredMs: number | undefined;
  /** Refusals since the rest that named no other. */
  refusals: number;
}

/**
 * Keeps requests from endpoints that asked this node for a rest, and brings them
 * back one at a time afterwards. The nodes return in turn, no faster than the
 * endpoint's slots become free, as all of them may have been refused at the same
 * moment. Endpoints are identified by their `key`, so that a rest ends with a
 * restart, but not with a lapse of the endpoint's entry.
 */
export class EndpointRests {
  readonly #options: EndpointRestsOptions;
  readonly #states = new Map<string, RestState>();

  constructor(options: EndpointRestsOptions) {
    this.#options = options;
  }

  /** Records that the endpoint refused a request and wants none for `namedMs`
   * milliseconds. The latest end counts. */
  recordNamed(endpoint: string, namedMs: number): void {
    const restMs = Math.min(namedMs, MAX_REST_MS);
    const untilMs = this.#now + restMs;
    const state = this.#states.get(endpoint);
    if (restMs <= 0 || state !== undefined && state.untilMs >= untilMs) {
      return;
    }
    const isProlonged = this.isResting(endpoint);
    this.#states.delete(endpoint);
    this.#states.set(endpoint, {
      untilMs,
      resumesMs: undefined,
      window: 1,
      waiting: state?.waiting ?? 0,
      answeredMs: undefined,
      refusals: 0,
    });
    this.#evictOldest();
    this.#options.onChange?.({
      endpoint,
      outcome: isProlonged ? "prolonged" : "began",
      restMs,
      namedMs,
    });
  }

  /** Whether the rest that the endpoint asked for is not over yet. */
  isResting(endpoint: string): boolean {
    const untilMs = this.#states.get(endpoint)?.untilMs;
    return untilMs !== undefined && this.#now < untilMs;
  }

  /** Whether this node may send a request to the endpoint now. */
  allows(endpoint: string, pace: EndpointPace): boolean {
    const state = this.#states.get(endpoint);
    if (state === undefined) {
      return true;
    }
    if (this.#isOver(state)) {
      this.#states.delete(endpoint);
      return true;
    }
    return this.#now >= this.#resumesMs(endpoint, state, pace) &&
      state.waiting < state.window;
  }

  /** Time until this node may send a request to the endpoint, milliseconds; 0 if
   * it waits only for the answer to another one. */
  waitMs(endpoint: string, pace: EndpointPace): number {
    const state = this.#states.get(endpoint);
    return state === undefined
      ? 0
      : Math.max(0, this.#resumesMs(endpoint, state, pace) - this.#now);
  }

  /** Whether no endpoint has asked for a rest lately. */
  get isIdle(): boolean {
    return this.#states.size === 0;
  }

  /** Number of endpoints that rest. */
  get restingCount(): number {
    return [...this.#states.keys()].filter((key) => this.isResting(key)).length;
  }

  /** Records that a request is sent to the endpoint. */
  recordSent(endpoint: string): void {
    const state = this.#states.get(endpoint);
    if (state !== undefined) {
      state.waiting += 1;
    }
  }

  /** Records that the endpoint began to answer a request, or that the request
   * ended without an answer. */
  recordAnswered(
    endpoint: string,
    answer: "accepted" | "refused" | "none",
  ): void {
    const state = this.#states.get(endpoint);
    if (state === undefined) {
      return;
    }
    state.waiting = Math.max(0, state.waiting - 1);
    const isReturning = state.resumesMs !== undefined;
    if (isReturning && answer === "accepted") {
      state.window += 1;
      state.refusals = 0;
      state.answeredMs ??= this.#now;
    } else if (isReturning && answer === "refused") {
      const pauseMs = Math.min(
        MAX_PAUSE_MS,
        MIN_PAUSE_MS * 2 ** state.refusals,
      );
      state.refusals += 1;
      state.window = 1;
      state.answeredMs = undefined;
      state.resumesMs = this.#now + pauseMs;
    }
  }

  get #now(): number {
    return this.#options.clock.monotonicMs();
  }

  #isOver({ answeredMs }: RestState): boolean {
    return answeredMs !== undefined && this.#now - answeredMs >= PROBATION_MS;
  }

  #resumesMs(endpoint: string, state: RestState, pace: EndpointPace): number {
    if (this.#now < state.untilMs) {
      return state.untilMs + this.#turnMs(endpoint, pace);
    }
    state.resumesMs ??= state.untilMs + this.#turnMs(endpoint, pace);
    return state.resumesMs;
  }

  /** This node's turn among all that may return to the endpoint, milliseconds after
   * the end of the rest. */
  #turnMs(endpoint: string, { slots, meanMs }: EndpointPace): number {
    const { nodeId } = this.#options;
    const nodeIds = this.#options.nodeIds();
    const intervalMs = (meanMs > 0 ? meanMs : DEFAULT_MEAN_MS) /
      Math.max(1, slots);
    const returnMs = Math.min(MAX_RETURN_MS, nodeIds.length * intervalMs);
    const rank = nodeRank(endpoint, { nodeId, nodeIds });
    return returnMs * rank / Math.max(1, nodeIds.length);
  }

  #evictOldest(): void {
    if (this.#states.size > MAX_ENDPOINTS) {
      const [oldest] = this.#states.keys();
      this.#states.delete(oldest!);
    }
  }
}
