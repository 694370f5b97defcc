import type { Clock } from "@limpetshed/base";
import type { ServiceSpec } from "@limpetshed/routing";
import type { ColdStartLimiter } from "./cold_start_limiter.ts";
import type { EndpointPolicy } from "./endpoint_policy.ts";
import type { Endpoint, EndpointRegistry } from "./endpoint_registry.ts";
import type {
  Admission,
  OverloadGuard,
  OverloadRefusal,
  OverloadRequest,
} from "./overload_guard.ts";
import type { PromptInfo } from "./prompt_info.ts";
import type { OutlierDetector } from "./outlier_detector.ts";

/** Why no endpoint can be tried now. */
export type NoChoiceReason =
  /** The service has no endpoint in service. */
  | "none_in_service"
  /** Every endpoint has been tried. */
  | "all_tried"
  /** Cold endpoints have their fill for this second. */
  | "cold_limit"
  /** This node may open no more connections to them. */
  | "connection_limit"
  /** Endpoints went down whenever one ran the request. */
  | "crash_suspect"
  | OverloadRefusal;

/** The endpoint to try, or why there is none. */
export type Choice =
  | { endpoint: Endpoint; copyFrom?: Endpoint; candidates: number }
  | {
    refusal: NoChoiceReason;
    /** Time after which it may be otherwise, milliseconds, if known. */
    waitMs?: number;
  };

/** What is to be placed. */
export interface ChoiceRequest {
  spec: ServiceSpec;
  prompt: PromptInfo | undefined;
  /** Keys of endpoints that have had the request. */
  tried: ReadonlySet<string>;
  /** What the request is worth waiting for. */
  urgency: Pick<
    OverloadRequest,
    "account" | "priority" | "targetLatencyMs" | "leftMs"
  >;
}

/** Options of {@linkcode EndpointChooser}. */
export interface EndpointChooserOptions {
  clock: Clock;
  registry: EndpointRegistry;
  policy: EndpointPolicy;
  coldStartLimiter: ColdStartLimiter;
  outlierDetector: OutlierDetector;
  guard: OverloadGuard;
  /** Whether a further connection to the address may be needed and is not
   * allowed. */
  isConnectionLimitReached: (address: string, spec: ServiceSpec) => boolean;
}

/** Chooses among the endpoints that may be tried now. */
export class EndpointChooser {
  readonly #options: EndpointChooserOptions;

  constructor(options: EndpointChooserOptions) {
    this.#options = options;
  }

  /** Chooses the endpoint of a request and counts it where it is cold. */
  choose(req: ChoiceRequest): Choice {
    const candidates = this.#candidates(req);
    if ("refusal" in candidates) {
      return candidates;
    }
    const admission = this.#admit(req, candidates);
    return "refusal" in admission
      ? admission
      : this.#place(req, admission.endpoints);
  }

  /** Endpoints that may be tried now, or why there are none. */
  #candidates(
    { spec, tried }: ChoiceRequest,
  ): Endpoint[] | { refusal: NoChoiceReason } {
    const { registry } = this.#options;
    const usable = registry.usable(spec.name);
    if (usable.length === 0) {
      return { refusal: "none_in_service" };
    }
    const untried = usable.filter(({ key }) => !tried.has(key));
    if (untried.length === 0) {
      return { refusal: "all_tried" };
    }
    const bearing = untried.filter((endpoint) => this.#bears(endpoint, spec));
    if (bearing.length === 0) {
      return { refusal: "cold_limit" };
    }
    const candidates = this.#preferTrusted(this.#connectable(bearing, spec));
    return candidates.length === 0
      ? { refusal: "connection_limit" }
      : candidates;
  }

  /** A request that an endpoint has had already is not refused any more. */
  #admit(
    { spec, tried, urgency }: ChoiceRequest,
    candidates: readonly Endpoint[],
  ): Admission {
    return tried.size > 0
      ? { endpoints: candidates }
      : this.#options.guard.admit({
        service: spec.name,
        ...urgency,
        candidates,
      });
  }

  #place(
    { spec, prompt }: ChoiceRequest,
    candidates: readonly Endpoint[],
  ): Choice {
    const { registry, policy, coldStartLimiter: coldGate } = this.#options;
    const members = registry.members(spec.name);
    const { endpoint, copyFrom } = policy.place({
      service: spec.name,
      prompt,
      members,
      candidates,
    });
    if (this.#isCold(endpoint)) {
      coldGate.count(endpoint.key);
    }
    return { endpoint, copyFrom, candidates: candidates.length };
  }

  #bears(endpoint: Endpoint, spec: ServiceSpec): boolean {
    return !this.#isCold(endpoint) ||
      this.#options.coldStartLimiter.allows(
        endpoint.key,
        spec.coldRequestsPerS,
      );
  }

  #isCold({ coldUntilMs }: Endpoint): boolean {
    return coldUntilMs > this.#options.clock.monotonicMs();
  }

  #connectable(endpoints: Endpoint[], spec: ServiceSpec): Endpoint[] {
    const { isConnectionLimitReached } = this.#options;
    return endpoints.filter(({ entry }) =>
      !isConnectionLimitReached(entry.address, spec)
    );
  }

  /** Leaves out suspects, unless all are. */
  #preferTrusted(endpoints: Endpoint[]): Endpoint[] {
    const keys = endpoints.map(({ key }) => key);
    const suspects = this.#options.outlierDetector.outliers(keys);
    if (suspects.size === 0) {
      return endpoints;
    }
    const trusted = endpoints.filter(({ key }) => !suspects.has(key));
    return trusted.length > 0 ? trusted : endpoints;
  }
}
