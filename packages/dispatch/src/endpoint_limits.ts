import type { Clock } from "@limpetshed/base";

/** What a response says of the limit of its endpoint. */
export type NamedLimit =
  /** It names none. */
  | { state: "none" }
  /** Requests per second that the endpoint takes from all nodes together. */
  | { state: "named"; requestsPerS: number }
  /** Its value is not a valid one. */
  | { state: "malformed" };

/** What nodes tell each other of an endpoint's limit. */
export interface LimitReport {
  /** Key of the endpoint. */
  endpoint: string;
  /** Requests per second; undefined if the limit is over. */
  requestsPerS: number | undefined;
  /** Time since a response said so, milliseconds. */
  heardAgeMs: number;
  /** Time since the request of that response was sent, milliseconds. */
  sentAgeMs: number;
}

/** A limit that has begun, changed or ended, for logs. */
export interface LimitChange {
  /** Key of the endpoint. */
  endpoint: string;
  outcome: "began" | "changed" | "ended";
  /** Requests per second; undefined if the limit is over. */
  requestsPerS: number | undefined;
  source: "endpoint" | "peer";
  /** Time since the endpoint said so, milliseconds. */
  ageMs: number;
}

/** Options of {@linkcode EndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  onChange?: (change: LimitChange) => void;
}

/** Time without any word of an endpoint after which its limit may be over: it
 * cannot say so while it gets no requests. */
const SILENCE_MS = 5_000;
/** Limit that is assumed then if it is not higher: one request in so long. */
const TRIAL_REQUESTS_PER_S = 1_000 / SILENCE_MS;
/** Allowed for the way of a report to this node. */
const REPORT_DELAY_MS = 500;
/** Smaller changes are neither logged nor reported. */
const MIN_CHANGE_FRACTION = 0.05;
/** Reports repeated each second. */
const MAX_REPEATED_REPORTS = 8;
const REPEAT_INTERVAL_MS = 1_000;
/** A limit that is not heard of for so long is forgotten: while it is in force, it
 * is tried several times in it. */
const FORGET_MS = 60_000;
const MAX_ENDPOINTS = 10_000;

interface Evidence {
  /** Requests per second; undefined if the limit is over. */
  requestsPerS: number | undefined;
  /** Monotonic time at which a response last said so. */
  heardMs: number;
  /** Monotonic time at which its request was sent. */
  sentMs: number;
}

interface State extends Evidence {
  /** Value that was last logged and reported. */
  reportedPerS: number | undefined;
}

/**
 * The limits that endpoints name in their responses. Responses overtake each
 * other, so a smaller value holds at once, but a larger one or none only if the
 * request was sent after the value in force was last heard.
 */
export class EndpointLimits {
  readonly #options: EndpointLimitsOptions;
  readonly #states = new Map<string, State>();
  /** Endpoints with changes that are yet to be reported. */
  readonly #changed = new Set<string>();
  #lastRepeatMs = Number.NEGATIVE_INFINITY;
  #repeatOffset = 0;

  constructor(options: EndpointLimitsOptions) {
    this.#options = options;
  }

  /** Limits in force, requests per second by endpoint key. */
  get inForce(): ReadonlyMap<string, number> {
    const limits = new Map<string, number>();
    for (const [endpoint, { requestsPerS }] of this.#states) {
      if (requestsPerS !== undefined) {
        limits.set(endpoint, requestsPerS);
      }
    }
    return limits;
  }

  /** Requests per second that an endpoint takes; undefined if it names no
   * limit. */
  requestsPerS(endpoint: string): number | undefined {
    const state = this.#states.get(endpoint);
    if (state?.requestsPerS === undefined) {
      return undefined;
    }
    const silentMs = this.#options.clock.monotonicMs() - state.heardMs;
    return silentMs < SILENCE_MS
      ? state.requestsPerS
      : Math.max(state.requestsPerS, TRIAL_REQUESTS_PER_S);
  }

  /** Records what a response of an endpoint says, whose request was sent at the
   * monotonic time `sentMs`. */
  recordResponse(
    endpoint: string,
    { requestsPerS, sentMs }: {
      /** Undefined if the response names no limit. */
      requestsPerS: number | undefined;
      sentMs: number;
    },
  ): void {
    const heardMs = this.#options.clock.monotonicMs();
    this.#merge(endpoint, { requestsPerS, heardMs, sentMs }, "endpoint");
  }

  /** Merges the reports of other nodes. */
  applyPeerReports(reports: readonly LimitReport[]): void {
    const now = this.#options.clock.monotonicMs();
    for (const { endpoint, requestsPerS, heardAgeMs, sentAgeMs } of reports) {
      this.#merge(endpoint, {
        requestsPerS,
        heardMs: now - heardAgeMs,
        sentMs: now - sentAgeMs - REPORT_DELAY_MS,
      }, "peer");
    }
  }

  /** Takes up to `max` endpoints with changes for one broadcast round; others wait
   * for later ones. The function that it returns makes the reports, as of its
   * call. */
  takeReports(max: number): () => LimitReport[] {
    const endpoints = [...this.#changed].slice(0, max);
    endpoints.forEach((endpoint) => this.#changed.delete(endpoint));
    return () => this.#makeReports(endpoints);
  }

  /** Returns some of the limits in force in turn, once a second, for nodes that
   * have joined or lost reports. */
  repeatedReports(): LimitReport[] {
    const now = this.#options.clock.monotonicMs();
    if (now - this.#lastRepeatMs < REPEAT_INTERVAL_MS) {
      return [];
    }
    this.#lastRepeatMs = now;
    const endpoints = [...this.inForce.keys()];
    const start = endpoints.length === 0
      ? 0
      : this.#repeatOffset % endpoints.length;
    this.#repeatOffset += MAX_REPEATED_REPORTS;
    const inTurn = [...endpoints.slice(start), ...endpoints.slice(0, start)];
    return this.#makeReports(inTurn.slice(0, MAX_REPEATED_REPORTS));
  }

  /** Forgets endpoints that were not heard of for long; returns their keys. */
  expire(): string[] {
    const oldestMs = this.#options.clock.monotonicMs() - FORGET_MS;
    const expired = [...this.#states]
      .filter(([, { heardMs }]) => heardMs < oldestMs)
      .map(([endpoint]) => endpoint);
    expired.forEach((endpoint) => this.forget(endpoint));
    return expired;
  }

  /** Discards the state of a removed endpoint. */
  forget(endpoint: string): void {
    this.#states.delete(endpoint);
    this.#changed.delete(endpoint);
  }

  #makeReports(endpoints: readonly string[]): LimitReport[] {
    const now = this.#options.clock.monotonicMs();
    return endpoints.flatMap((endpoint) => {
      const state = this.#states.get(endpoint);
      return state === undefined ? [] : [{
        endpoint,
        requestsPerS: state.requestsPerS,
        heardAgeMs: now - state.heardMs,
        sentAgeMs: now - state.sentMs,
      }];
    });
  }

  #merge(
    endpoint: string,
    evidence: Evidence,
    source: LimitChange["source"],
  ): void {
    const state = this.#states.get(endpoint);
    if (!supersedes(evidence, state)) {
      return;
    }
    const next: State = {
      requestsPerS: evidence.requestsPerS,
      heardMs: Math.max(evidence.heardMs, state?.heardMs ?? evidence.heardMs),
      sentMs: Math.max(evidence.sentMs, state?.sentMs ?? evidence.sentMs),
      reportedPerS: state?.reportedPerS,
    };
    this.#states.delete(endpoint);
    this.#states.set(endpoint, next);
    if (this.#states.size > MAX_ENDPOINTS) {
      const [oldest] = this.#states.keys();
      this.forget(oldest!);
    }
    if (isNotable(next.requestsPerS, next.reportedPerS)) {
      // The node that heard it from the endpoint tells all others.
      if (source === "endpoint") {
        this.#changed.add(endpoint);
      }
      this.#options.onChange?.({
        endpoint,
        outcome: next.requestsPerS === undefined
          ? "ended"
          : next.reportedPerS === undefined
          ? "began"
          : "changed",
        requestsPerS: next.requestsPerS,
        source,
        ageMs: this.#options.clock.monotonicMs() - evidence.heardMs,
      });
      next.reportedPerS = next.requestsPerS;
    }
  }
}

/** Whether evidence takes the place of what is known. */
function supersedes(
  { requestsPerS, heardMs, sentMs }: Evidence,
  state: Evidence | undefined,
): boolean {
  if (state === undefined) {
    return requestsPerS !== undefined;
  }
  const isLater = sentMs > state.heardMs;
  if (requestsPerS === undefined) {
    return state.requestsPerS !== undefined && isLater;
  }
  const isSmaller = state.requestsPerS === undefined ||
    requestsPerS <= state.requestsPerS;
  return isLater || isSmaller && heardMs >= state.sentMs;
}

function isNotable(
  requestsPerS: number | undefined,
  reportedPerS: number | undefined,
): boolean {
  return requestsPerS === undefined || reportedPerS === undefined
    ? requestsPerS !== reportedPerS
    : Math.abs(requestsPerS - reportedPerS) >
      MIN_CHANGE_FRACTION * Math.max(requestsPerS, reportedPerS);
}
