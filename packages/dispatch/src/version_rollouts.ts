import type { Clock } from "@limpetshed/base";
import type { Endpoint, EndpointRegistry } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type {
  ExposureLimits,
  RolloutOrder,
  RolloutReport,
  RolloutState,
  RolloutStatus,
} from "./rollout_report.ts";
import { VersionGate } from "./version_gate.ts";
import {
  type EndpointFilter,
  type RolloutPhase,
  VersionRollout,
} from "./version_rollout.ts";

/** Options of {@linkcode VersionRollouts}. */
export interface VersionRolloutsOptions {
  clock: Clock;
  registry: Pick<EndpointRegistry, "usable" | "serviceEndpoints">;
  loads: Pick<LoadTracker, "localInFlight">;
  limits: ExposureLimits;
  nodeId: string;
  /** Ids of all nodes that may be running, including this one. */
  nodeIds: () => readonly string[];
  /** Returns a number in `[0, 1)`. */
  random: () => number;
  /** Called when this node goes on, stops or learns how a rollout ended. */
  onChange?: (change: RolloutChange) => void;
}

/** A step of a rollout at this node. */
export interface RolloutChange {
  order: RolloutOrder;
  step: "ordered" | "withdrawn" | RolloutPhase | RolloutState;
  /** Requests that this node sent to the target. */
  exposed: number;
}

/** A status that the store should hold. */
export interface WantedStatus {
  order: RolloutOrder;
  state: RolloutState;
  /** Revision of the status that it replaces; 0 if there is none. */
  replaces: number;
}

/** An answer of an endpoint to a request. */
export interface VersionAnswer {
  endpoint: Endpoint;
  route: string;
  isFailed: boolean;
  /** Time to the end of the answer, milliseconds; infinite if its time was over
   * first. */
  durationMs: number | undefined;
  sentMs: number;
}

/** Bounds the memory for orders that come after each other. */
const MAX_BAD_VERSIONS = 16;
const ANY = [undefined] as const;

/** The rollouts of all services. Without an order it lets all pass. */
export class VersionRollouts extends VersionGate {
  readonly #options: VersionRolloutsOptions;
  readonly #rollouts = new Map<string, VersionRollout>();
  readonly #statuses = new Map<string, RolloutStatus>();
  /** Versions found bad, by service. */
  readonly #badVersions = new Map<string, Set<string>>();

  constructor(options: VersionRolloutsOptions) {
    super();
    this.#options = options;
  }

  /** Whether no service has an order. */
  get isIdle(): boolean {
    return this.#rollouts.size === 0;
  }

  /** The rollout of a service. */
  get(service: string): VersionRollout | undefined {
    return this.#rollouts.get(service);
  }

  /** Takes an order; `ageMs` is the time since it was given, undefined if that was
   * before this node started. */
  setOrder(
    order: RolloutOrder,
    { ageMs }: { ageMs: number | undefined },
  ): void {
    const { service, revision } = order;
    const known = this.#rollouts.get(service);
    if (known !== undefined) {
      if (known.order.revision === revision) {
        return;
      }
      this.#rememberBad(known);
    }
    this.#badVersions.get(service)?.delete(order.target);
    const { loads, registry } = this.#options;
    this.#rollouts.set(
      service,
      new VersionRollout({
        ...this.#options,
        order,
        ageMs,
        usable: () => this.#usable(service),
        known: () => registry.serviceEndpoints(service),
        inFlight: (key) => loads.localInFlight(key),
      }),
    );
    this.#report(order, "ordered");
    this.#applyStatus(service);
  }

  /** The order for a service is gone. */
  deleteOrder(service: string): void {
    const known = this.#rollouts.get(service);
    if (known !== undefined) {
      this.#report(known.order, "withdrawn");
      this.#rollouts.delete(service);
      this.#badVersions.delete(service);
    }
  }

  /** Takes what the store says of a service's rollout; undefined if nothing. */
  setStatus(service: string, status: RolloutStatus | undefined): void {
    if (status === undefined) {
      this.#statuses.delete(service);
    } else {
      this.#statuses.set(service, status);
      this.#applyStatus(service);
    }
  }

  override filters(
    { service, ...request }: Parameters<VersionGate["filters"]>[0],
  ): readonly (EndpointFilter | undefined)[] {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      return ANY;
    }
    const filters = rollout.filters(request);
    const bad = this.#badVersions.get(service);
    return bad === undefined || bad.size === 0
      ? filters
      : filters.map((isEligible) => (endpoint: Endpoint) =>
        !bad.has(endpoint.entry.softwareVersion ?? "") &&
        (isEligible?.(endpoint) ?? true)
      );
  }

  override recordSent(endpoint: Endpoint): void {
    this.#rollouts.get(endpoint.entry.service)?.recordSent(endpoint);
  }

  /** Records an answer to this node. What a cold endpoint takes for one is no
   * evidence. */
  recordAnswer(
    { endpoint, durationMs, sentMs, ...answer }: VersionAnswer,
  ): void {
    const rollout = this.#rollouts.get(endpoint.entry.service);
    rollout?.evidence.record({
      ...answer,
      group: rollout.groupOf(endpoint),
      durationMs: sentMs < endpoint.coldUntilMs ? undefined : durationMs,
    });
  }

  /** Takes what another node says; returns whether this node stops for it. */
  merge(report: RolloutReport, options: { isDirect: boolean }): boolean {
    const rollout = this.#rollouts.get(report.service);
    if (
      rollout === undefined || rollout.order.revision !== report.order ||
      !rollout.merge(report, options)
    ) {
      return false;
    }
    this.#report(rollout.order, rollout.phase);
    return true;
  }

  /** Judges the targets and moves on; returns whether one was found bad. */
  tick(): boolean {
    let hasStopped = false;
    for (const rollout of this.#rollouts.values()) {
      if (rollout.tick()) {
        this.#report(rollout.order, rollout.phase);
        hasStopped ||= rollout.phase === "stopped";
      }
    }
    return hasStopped;
  }

  /** What this node knows by itself of the rollouts that aren't over. */
  reports(source: string): RolloutReport[] {
    return [...this.#rollouts.values()]
      .filter(({ ended }) => ended === undefined)
      .map((rollout) => rollout.report(source));
  }

  /** What other nodes are known to know of those. */
  otherReports(): RolloutReport[] {
    return [...this.#rollouts.values()]
      .filter(({ ended }) => ended === undefined)
      .flatMap(({ evidence }) => evidence.reports());
  }

  /** The statuses that the store doesn't hold and should. */
  wantedStatuses(): WantedStatus[] {
    return [...this.#rollouts.values()].flatMap((rollout) => {
      const { order } = rollout;
      const state = rollout.wantedState();
      const held = this.#statusOf(order);
      return held?.state === state ? [] : [{
        order,
        state,
        replaces: this.#statuses.get(order.service)?.revision ?? 0,
      }];
    });
  }

  /** Endpoints whose versions were not found bad. */
  #usable(service: string): readonly Endpoint[] {
    const usable = this.#options.registry.usable(service);
    const bad = this.#badVersions.get(service);
    return bad === undefined || bad.size === 0
      ? usable
      : usable.filter(({ entry }) => !bad.has(entry.softwareVersion ?? ""));
  }

  /** The status that the store holds of an order: one that was written later. */
  #statusOf({ service, revision }: RolloutOrder): RolloutStatus | undefined {
    const status = this.#statuses.get(service);
    return status !== undefined && status.revision > revision
      ? status
      : undefined;
  }

  #applyStatus(service: string): void {
    const rollout = this.#rollouts.get(service);
    const status = rollout && this.#statusOf(rollout.order);
    if (
      rollout !== undefined && status?.state !== undefined &&
      rollout.ended === undefined
    ) {
      rollout.end(status.state);
      if (rollout.ended !== undefined) {
        this.#report(rollout.order, rollout.ended);
      }
    }
  }

  #rememberBad({ order: { service, target }, isBad }: VersionRollout): void {
    if (!isBad) {
      return;
    }
    const versions = this.#badVersions.get(service) ?? new Set();
    versions.add(target);
    if (versions.size > MAX_BAD_VERSIONS) {
      versions.delete([...versions][0]!);
    }
    this.#badVersions.set(service, versions);
  }

  #report(order: RolloutOrder, step: RolloutChange["step"]): void {
    const exposed = this.#rollouts.get(order.service)?.exposed ?? 0;
    this.#options.onChange?.({ order, step, exposed });
  }
}
