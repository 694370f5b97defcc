import type { Clock } from "@limpetshed/base";
import type { ServiceSpec } from "@limpetshed/routing";
import type { BrittleEndpoints } from "./brittle_endpoints.ts";
import type { ColdStartLimiter } from "./cold_start_limiter.ts";
import type { Choice, ChoiceRequest, NoChoice } from "./endpoint_choice.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointLimiter } from "./endpoint_limiter.ts";
import type { EndpointPace, EndpointRests } from "./endpoint_rests.ts";
import type { EndpointPolicy } from "./endpoint_policy.ts";
import type { Endpoint, EndpointRegistry } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import type { Admission, OverloadGuard } from "./overload_guard.ts";
import { RestRefusals } from "./rest_refusals.ts";
import { hasScarceSlots } from "./scarce_slots.ts";
import type { ServiceLatency } from "./service_latency.ts";
import type { ServiceVersions } from "./service_versions.ts";

const MS_PER_SECOND = 1_000;

/** Options of {@linkcode EndpointChooser}. */
export interface EndpointChooserOptions {
  clock: Clock;
  registry: EndpointRegistry;
  policy: EndpointPolicy;
  coldStartLimiter: ColdStartLimiter;
  endpointLimiter: EndpointLimiter;
  rests: EndpointRests;
  latency: ServiceLatency;
  /** Number of nodes that may be running. */
  nodeCount: () => number;
  outlierDetector: OutlierDetector;
  overloadGuard: OverloadGuard;
  versions: ServiceVersions;
  brittleEndpoints: BrittleEndpoints;
  loads: LoadTracker;
  /** Whether this node may open no more connections to the address. True even
   * if there are idle connections, since a request may still need a new
   * one. */
  isConnectionLimitReached: (address: string, spec: ServiceSpec) => boolean;
}

/** Chooses endpoints for requests: filters the usable ones by rests, connection,
 * cold-start and named limits, outliers and overload, then applies the policy. */
export class EndpointChooser {
  readonly #options: EndpointChooserOptions;
  readonly #restRefusals: RestRefusals;
  #needRotation = 0;

  constructor(options: EndpointChooserOptions) {
    this.#options = options;
    this.#restRefusals = new RestRefusals(options);
  }

  /** Chooses an endpoint; a request to a cold one counts against its limit. */
  choose(req: ChoiceRequest): Choice {
    const candidates = this.#candidates(req);
    const admission = "refusal" in candidates
      ? candidates
      : this.#admit(req, candidates);
    if ("refusal" in admission) {
      this.#recordNeed(req);
      return admission;
    }
    return this.#select(req, admission.endpoints);
  }

  /** Chooses an endpoint with a free slot for a second send of a request: one that
   * neither waits nor takes what other nodes need; undefined if there is none. */
  chooseSpare(req: ChoiceRequest): Exclude<Choice, NoChoice> | undefined {
    const { endpointLimiter, loads, outlierDetector } = this.#options;
    const usable = this.#usable(req);
    const outliers = outlierDetector.outliers(usable.map(({ key }) => key));
    const spare = usable.filter((endpoint) =>
      !req.tried.has(endpoint.key) && !outliers.has(endpoint.key) &&
      this.#isAwake(endpoint) && this.#isWithinColdLimit(endpoint, req.spec) &&
      endpointLimiter.allows(endpoint.key) && this.#hasRoom(endpoint) &&
      loads.totalInFlight(endpoint.key) < endpoint.entry.slots
    );
    const candidates = this.#filterConnectable(spare, req.spec);
    return candidates.length === 0 ? undefined : this.#select(req, candidates);
  }

  /** Asks other nodes for a share of one limited endpoint, a different one each
   * time, that could have taken a request that is refused. */
  #recordNeed(req: ChoiceRequest): void {
    const { endpointLimiter, rests } = this.#options;
    const denied = this.#usable(req).filter(({ key }) =>
      !req.tried.has(key) && !rests.isResting(key) &&
      !endpointLimiter.allows(key)
    );
    if (denied.length > 0) {
      this.#needRotation += 1;
      const { key } = denied[this.#needRotation % denied.length]!;
      endpointLimiter.recordDenied(key);
    }
  }

  /** Endpoints that the request may be sent to, or why there are none. */
  #candidates(req: ChoiceRequest): Endpoint[] | NoChoice {
    const { spec, tried, version } = req;
    const usable = this.#usable(req);
    if (usable.length === 0) {
      const isGone = version !== undefined &&
        this.#options.registry.usable(spec.name).length > 0;
      return { refusal: isGone ? "version_gone" : "none_in_service" };
    }
    const untried = usable.filter(({ key }) => !tried.has(key));
    if (untried.length === 0) {
      return { refusal: "all_tried" };
    }
    const awake = untried.filter((endpoint) => this.#isAwake(endpoint));
    if (awake.length === 0) {
      return this.#refuseForRest(req, untried);
    }
    const withinColdLimit = awake.filter((endpoint) =>
      this.#isWithinColdLimit(endpoint, spec)
    );
    if (withinColdLimit.length === 0) {
      return { refusal: "cold_limit" };
    }
    const withinLimits = this.#filterWithinLimits(withinColdLimit, req);
    if ("refusal" in withinLimits) {
      return withinLimits;
    }
    const withRoom = withinLimits.filter((endpoint) => this.#hasRoom(endpoint));
    if (withRoom.length === 0) {
      return { refusal: "brittle" };
    }
    const candidates = this.#excludeOutliers(
      this.#filterConnectable(withRoom, spec),
    );
    return candidates.length === 0
      ? { refusal: "connection_limit" }
      : candidates;
  }

  #isAwake({ key, entry }: Endpoint): boolean {
    return this.#options.rests.allows(key, this.#pace(entry));
  }

  /** Refuses a request until the first of the endpoints is back. */
  #refuseForRest(
    { spec, overloadInput: { priority } }: ChoiceRequest,
    endpoints: readonly Endpoint[],
  ): NoChoice {
    const { rests, nodeCount } = this.#options;
    const waitsMs = endpoints.map(({ key, entry }) =>
      rests.waitMs(key, this.#pace(entry))
    );
    const requestsPerMs = endpoints.reduce((sum, { entry }) => {
      const { slots, meanMs } = this.#pace(entry);
      return sum + slots / Math.max(1, meanMs);
    }, 0);
    const waitMs = this.#restRefusals.record({
      service: spec.name,
      priority,
      firstBackMs: Math.min(...waitsMs),
      requestsPerS: requestsPerMs * MS_PER_SECOND / Math.max(1, nodeCount()),
    });
    return { refusal: "resting", waitMs };
  }

  #pace({ service, slots }: EndpointEntry): EndpointPace {
    return { slots, meanMs: this.#options.latency.meanMs(service) };
  }

  #hasRoom({ key, entry: { service, slots } }: Endpoint): boolean {
    const { brittleEndpoints, loads } = this.#options;
    return !brittleEndpoints.isBrittle(service) ||
      brittleEndpoints.allows(key, {
        slots,
        total: loads.totalInFlight(key),
        local: loads.localInFlight(key),
      });
  }

  #usable(
    { spec: { name }, version, isEligible }: ChoiceRequest,
  ): readonly Endpoint[] {
    const { registry, versions } = this.#options;
    const usable = version === undefined
      ? registry.usable(name)
      : registry.usableWhere(
        name,
        (endpoint) => versions.versionOf(endpoint) === version,
      );
    return isEligible === undefined ? usable : usable.filter(isEligible);
  }

  /** Excludes endpoints whose limits leave this node no request. If all others
   * have limits too, the last requests are for the urgent ones. */
  #filterWithinLimits(
    endpoints: Endpoint[],
    { spec, tried, overloadInput: { account, priority } }: ChoiceRequest,
  ): Endpoint[] | NoChoice {
    const { endpointLimiter, overloadGuard } = this.#options;
    const limited = endpoints.filter(({ key }) =>
      endpointLimiter.isLimited(key)
    );
    if (limited.length === 0) {
      return endpoints;
    }
    const allowed = endpoints.filter(({ key }) => endpointLimiter.allows(key));
    if (limited.length < endpoints.length) {
      return allowed;
    }
    const keys = limited.map(({ key }) => key);
    const isAdmitted = allowed.length > 0 && (tried.size > 0 ||
      endpointLimiter.admits({
        endpoints: keys,
        priority,
        isAboveShare: overloadGuard.isAboveShare(spec.name, account),
      }));
    return isAdmitted ? allowed : {
      refusal: "endpoint_limit",
      waitMs: endpointLimiter.recordRefusal(spec.name, keys),
    };
  }

  /** Applies the overload guard to first attempts only: a request that was
   * already sent to an endpoint is no longer shed. */
  #admit(
    { spec, prompt, tried, overloadInput }: ChoiceRequest,
    candidates: readonly Endpoint[],
  ): Admission {
    const { overloadGuard, registry, nodeCount } = this.#options;
    const isScarce = prompt === undefined &&
      hasScarceSlots(registry.usable(spec.name), nodeCount());
    return tried.size > 0
      ? { endpoints: overloadGuard.readmit(candidates, isScarce) }
      : overloadGuard.admit({
        service: spec.name,
        ...overloadInput,
        candidates,
        isScarce,
      });
  }

  #select(
    { spec, prompt }: ChoiceRequest,
    candidates: readonly Endpoint[],
  ): Exclude<Choice, NoChoice> {
    const { registry, policy, coldStartLimiter, endpointLimiter, rests } =
      this.#options;
    const all = registry.serviceEndpoints(spec.name);
    // Endpoints that rest are no capacity that a mean load could be taken over.
    const serviceEndpoints = rests.isIdle
      ? all
      : all.filter(({ key }) => !rests.isResting(key));
    const { endpoint, copyFrom } = policy.select({
      service: spec.name,
      prompt,
      serviceEndpoints,
      candidates,
    });
    if (this.#isCold(endpoint)) {
      coldStartLimiter.recordRequest(endpoint.key);
    }
    endpointLimiter.recordRequest(endpoint.key);
    rests.recordSent(endpoint.key);
    return { endpoint, copyFrom, candidates: candidates.length };
  }

  #isWithinColdLimit(endpoint: Endpoint, spec: ServiceSpec): boolean {
    return !this.#isCold(endpoint) ||
      this.#options.coldStartLimiter.allows(
        endpoint.key,
        spec.coldRequestsPerS,
      );
  }

  #isCold({ coldUntilMs }: Endpoint): boolean {
    return coldUntilMs > this.#options.clock.monotonicMs();
  }

  #filterConnectable(endpoints: Endpoint[], spec: ServiceSpec): Endpoint[] {
    const { isConnectionLimitReached } = this.#options;
    return endpoints.filter(({ entry }) =>
      !isConnectionLimitReached(entry.address, spec)
    );
  }

  /** Excludes outliers, unless all endpoints are. */
  #excludeOutliers(endpoints: Endpoint[]): Endpoint[] {
    const keys = endpoints.map(({ key }) => key);
    const outliers = this.#options.outlierDetector.outliers(keys);
    if (outliers.size === 0) {
      return endpoints;
    }
    const preferred = endpoints.filter(({ key }) => !outliers.has(key));
    return preferred.length > 0 ? preferred : endpoints;
  }
}
