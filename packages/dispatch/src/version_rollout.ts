import type { Clock } from "@limpetshed/base";
import { hash64 } from "@limpetshed/hashing";
import { canaryKeys } from "./canary_endpoints.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import {
  ExposureBudget,
  type ExposureBudgetOptions,
} from "./exposure_budget.ts";
import { RolloutEvidence } from "./rollout_evidence.ts";
import {
  OTHER_GROUP,
  type RolloutOrder,
  type RolloutReport,
  type RolloutState,
} from "./rollout_report.ts";
import { judgeVersion } from "./rollout_verdict.ts";

/** Where a node stands in a rollout that isn't over. */
export type RolloutPhase =
  /** Few requests go to the target. */
  | "canary"
  /** Half of them do, as far as the exposure allows. */
  | "trial"
  /** More and more do. */
  | "committed"
  /** All do. */
  | "switched"
  /** None does: the target is bad. */
  | "stopped";

/** Which endpoints may take a request. */
export type EndpointFilter = (endpoint: Endpoint) => boolean;

/** Options of {@linkcode VersionRollout}. */
export interface VersionRolloutOptions
  extends Omit<ExposureBudgetOptions, "hasSlack"> {
  clock: Clock;
  order: RolloutOrder;
  /** Time since the order, milliseconds; undefined if it was given before this
   * node started. */
  ageMs: number | undefined;
  /** Endpoints of the service that accept requests. */
  usable: () => readonly Endpoint[];
  /** All endpoints of the service. */
  known: () => readonly Endpoint[];
  /** This node's requests in flight at an endpoint. */
  inFlight: (endpointKey: string) => number;
  /** Returns a number in `[0, 1)`. */
  random: () => number;
}

/** Ends of the phases, as parts of the time of the order. */
const TRIAL_FROM = 0.5;
const COMMIT_FROM = 0.66;
const RAMP_PART = 0.06;
/** Time at which the old version is ended even with streams in flight. */
const COMPLETE_FROM = 0.88;

/** Parts of the exposure bound that are used. */
const CANARY_EXPOSURE = 0.5;
const TRIAL_EXPOSURE = 0.8;
/** Part of the requests offered to the target before it is committed to. */
const OFFERED_PART = 0.5;
/** Slots of the target that are enough, as a part of those of the others. */
const MIN_SLOTS_PART = 0.6;

/** Time in which a node that starts learns what the others know. */
const CATCH_UP_MS = 2_000;
/** Time for which what a node said holds: a node of a large fleet says something to
 * each other one within four seconds. */
const HEARD_WITHIN_MS = 5_000;
const ENDPOINT_GROUPS = 8n;

/** One rollout, as one node takes part in it. */
export class VersionRollout {
  readonly evidence: RolloutEvidence;
  readonly #options: VersionRolloutOptions;
  readonly #budget: ExposureBudget;
  readonly #startMs: number;
  #orderedMs: number;
  #phase: RolloutPhase = "canary";
  #committedMs = 0;
  #ended: RolloutState | undefined;
  /** Endpoints that stop once the rollout is completed. */
  #endedKeys: ReadonlySet<string> = new Set();
  #sequence = 0;

  constructor(options: VersionRolloutOptions) {
    const { clock, ageMs } = options;
    this.#options = options;
    this.evidence = new RolloutEvidence({ clock });
    this.#budget = new ExposureBudget({
      ...options,
      hasSlack: ageMs !== undefined,
    });
    this.#startMs = clock.monotonicMs();
    this.#orderedMs = this.#startMs - (ageMs ?? 0);
  }

  get order(): RolloutOrder {
    return this.#options.order;
  }

  get phase(): RolloutPhase {
    return this.#phase;
  }

  /** How the rollout ended, if it has. */
  get ended(): RolloutState | undefined {
    return this.#ended;
  }

  /** Requests that this node sent to the target. */
  get exposed(): number {
    return this.#budget.exposed;
  }

  /** Whether no request may go to the target's version any more. */
  get isBad(): boolean {
    return this.#ended === undefined
      ? this.#phase === "stopped"
      : this.#ended === "rolled_back";
  }

  /** Ends the rollout, as the store says. */
  end(state: RolloutState): void {
    if (state === "running" || this.#ended !== undefined) {
      return;
    }
    this.#ended = state;
    // What a node finds ended as it starts may have ended long ago: the endpoints
    // beside the target's may be of a later version.
    if (this.#isCaughtUp()) {
      this.#endedKeys = new Set(this.#knownOthers().map(({ key }) => key));
    }
  }

  /** Filters of the endpoints for one attempt, in the order in which they are to
   * be applied until one leaves an endpoint; undefined is any. */
  filters(
    { version, isRetry }: { version: string | undefined; isRetry: boolean },
  ): readonly (EndpointFilter | undefined)[] {
    const isTarget: EndpointFilter = (endpoint) => this.isTarget(endpoint);
    const isOther: EndpointFilter = (endpoint) => !this.isTarget(endpoint);
    if (this.isBad) {
      return [isOther];
    }
    if (this.#ended === "completed") {
      return [({ key }) => !this.#endedKeys.has(key), undefined];
    }
    if (version !== undefined) {
      return [undefined];
    }
    if (this.#phase === "switched") {
      return [isTarget, ...this.#targets().length > 0 ? [] : [isOther]];
    }
    if (this.#others().length === 0) {
      return [isTarget];
    }
    return !isRetry && this.#offersTarget()
      ? [this.#canaryFilter(), isOther]
      : [isOther];
  }

  /** Whether an endpoint has the target's version. */
  isTarget({ entry: { softwareVersion } }: Endpoint): boolean {
    return softwareVersion === this.order.target;
  }

  /** Group of an endpoint in the evidence. */
  groupOf(endpoint: Endpoint): number {
    return this.isTarget(endpoint)
      ? Number(hash64(endpoint.key) % ENDPOINT_GROUPS)
      : OTHER_GROUP;
  }

  /** Counts an attempt. */
  recordSent(endpoint: Endpoint): void {
    this.#budget.record({ isExposed: this.isTarget(endpoint) });
  }

  /** Takes what another node says; returns whether this node stops for it. */
  merge(report: RolloutReport, { isDirect }: { isDirect: boolean }): boolean {
    this.evidence.merge(report, { isDirect });
    if (isDirect) {
      const orderedMs = this.#options.clock.monotonicMs() - report.ageMs;
      this.#orderedMs = Math.min(this.#orderedMs, orderedMs);
    }
    return report.isBad && this.#stop();
  }

  /** Judges the target and moves on; returns whether the phase has changed. */
  tick(): boolean {
    if (this.#ended !== undefined || this.#phase === "stopped") {
      return false;
    }
    const verdict = judgeVersion(
      this.evidence.comparisons({
        isRecentOnly: this.#phase === "committed" || this.#phase === "switched",
      }),
    );
    if (verdict === "bad") {
      return this.#stop();
    }
    const before = this.#phase;
    this.#moveOn({ isInDoubt: verdict === "in_doubt" });
    return this.#phase !== before;
  }

  /** The state that the store should hold. */
  wantedState(): RolloutState {
    if (this.#ended !== undefined) {
      return this.#ended;
    }
    const progress = this.#progress();
    const isCommitted = this.#phase === "committed" ||
      this.#phase === "switched";
    if (this.#phase === "stopped" || (progress >= 1 && !isCommitted)) {
      return "rolled_back";
    }
    const isOver = this.#phase === "switched" &&
      (progress >= COMPLETE_FROM || this.#isDrained());
    return isOver ? "completed" : "running";
  }

  /** What this node knows by itself. */
  report(source: string): RolloutReport {
    const { order: { service, revision }, clock } = this.#options;
    this.#sequence += 1;
    return {
      service,
      order: revision,
      source,
      sequence: this.#sequence,
      isSwitched: this.#phase === "switched" || this.#ended === "completed",
      otherInFlight: this.#otherInFlight(),
      isBad: this.isBad,
      ageMs: Math.round(clock.monotonicMs() - this.#orderedMs),
      cells: this.evidence.ownCells(),
    };
  }

  #progress(): number {
    const elapsedMs = this.#options.clock.monotonicMs() - this.#orderedMs;
    return elapsedMs / Math.max(1, this.order.durationMs);
  }

  #stop(): boolean {
    if (this.#ended !== undefined || this.#phase === "stopped") {
      return false;
    }
    this.#phase = "stopped";
    return true;
  }

  #moveOn({ isInDoubt }: { isInDoubt: boolean }): void {
    const progress = this.#progress();
    if (this.#phase === "canary" && progress >= TRIAL_FROM && !isInDoubt) {
      this.#phase = "trial";
    }
    if (
      this.#phase === "trial" && progress >= COMMIT_FROM && progress < 1 &&
      !isInDoubt && this.#hasCapacity() && this.#hearsFleet()
    ) {
      this.#phase = "committed";
      this.#committedMs = this.#options.clock.monotonicMs();
    }
    if (this.#phase === "committed" && this.#rampPart() >= 1) {
      this.#phase = "switched";
    }
  }

  /** How far the traffic has moved since it was committed to, `[0, 1]`. */
  #rampPart(): number {
    const elapsedMs = this.#options.clock.monotonicMs() - this.#committedMs;
    return elapsedMs / (RAMP_PART * this.order.durationMs);
  }

  #offersTarget(): boolean {
    const { random } = this.#options;
    if (this.#phase === "committed") {
      const part = OFFERED_PART + (1 - OFFERED_PART) * this.#rampPart();
      return random() < part;
    }
    const part = this.#phase === "trial" ? TRIAL_EXPOSURE : CANARY_EXPOSURE;
    return this.#isCaughtUp() && this.#budget.allows(part) &&
      random() < OFFERED_PART;
  }

  /** Whether this node knows what the others do. */
  #isCaughtUp(): boolean {
    const { clock, ageMs } = this.#options;
    return ageMs !== undefined ||
      clock.monotonicMs() - this.#startMs >= CATCH_UP_MS;
  }

  /** The part of the target's endpoints that requests go to. */
  #canaryFilter(): EndpointFilter {
    const { share } = this.#options.limits;
    const parts = { canary: CANARY_EXPOSURE * share, trial: OFFERED_PART };
    const part = this.#phase === "canary" || this.#phase === "trial"
      ? parts[this.#phase]
      : 1;
    const keys = canaryKeys(this.#targets(), part);
    return ({ key }) => keys.has(key);
  }

  #targets(): Endpoint[] {
    return this.#options.usable().filter((endpoint) => this.isTarget(endpoint));
  }

  #others(): Endpoint[] {
    return this.#options.usable()
      .filter((endpoint) => !this.isTarget(endpoint));
  }

  /** Those, and the ones that leave: what they have in flight ends as well. */
  #knownOthers(): Endpoint[] {
    return this.#options.known().filter((endpoint) => !this.isTarget(endpoint));
  }

  #otherInFlight(): number {
    return this.#knownOthers()
      .reduce((sum, { key }) => sum + this.#options.inFlight(key), 0);
  }

  #hasCapacity(): boolean {
    const targets = this.#targets();
    return targets.length > 0 &&
      slots(targets) >= MIN_SLOTS_PART * slots(this.#others());
  }

  #hearsFleet(): boolean {
    const others = this.#options.nodeIds().length - 1;
    return this.evidence.heard(HEARD_WITHIN_MS).length >= others / 2;
  }

  /** Whether no node in reach has a request at another version. */
  #isDrained(): boolean {
    return this.#otherInFlight() === 0 && this.#hearsFleet() &&
      this.evidence.heard(HEARD_WITHIN_MS).every((
        { isSwitched, otherInFlight },
      ) => isSwitched && otherInFlight === 0);
  }
}

function slots(endpoints: readonly Endpoint[]): number {
  return endpoints.reduce((sum, { entry }) => sum + entry.slots, 0);
}
