import type { Service } from "@limpetshed/config";
import type { EndpointInfo } from "@limpetshed/membership";
import { EndpointAdmissions } from "./endpoint_admissions.ts";
import { coldStartLimit, loadLimit } from "./endpoint_limit.ts";
import type { EndpointMonitor } from "./endpoint_monitor.ts";
import type { ServiceLoad } from "./load_sums.ts";

/** Inputs of {@linkcode OwnedEndpoint.limit}. */
export interface LimitContext {
  service: Service;
  serviceLoad: ServiceLoad;
  /** Fraction of the region's nodes considered live here, in `(0, 1]`. */
  reachableFraction: number;
  nowMs: number;
}

/**
 * Milliseconds for which a new owner is settling: it may not know all existing
 * admissions yet, and admits up to a reduced limit.
 */
export const SETTLING_PERIOD_MS = 2_500;
/**
 * Milliseconds after a change of owner from which load reports include all
 * earlier admissions: the delay until a grant is used plus the report lag.
 */
const REPORT_CATCH_UP_MS = 1_500;
/** Fraction of the limit available while settling. */
const SETTLING_LIMIT_FRACTION = 0.25;
/** Maximum lag of an endpoint's load report. */
const MAX_REPORT_LAG_MS = 1_000;
/** Maximum report age at which an idle endpoint counts as not restarted. */
const FRESH_REPORT_MAX_AGE_MS = 300;
/** Maximum age of a usable report; exceeded if this process was paused. */
const USABLE_REPORT_MAX_AGE_MS = 2_500;

/** An endpoint owned by this node: its monitor, admissions and limit. */
export class OwnedEndpoint {
  readonly info: EndpointInfo;
  readonly monitor: EndpointMonitor;
  readonly admissions: EndpointAdmissions;
  #settlingUntilMs: number;
  #settlingSinceMs: number;
  /** When last seen idle; infinite before the first check, counts as idle. */
  #lastIdleMs = Number.POSITIVE_INFINITY;

  constructor({ info, monitor, settlingUntilMs }: {
    info: EndpointInfo;
    monitor: EndpointMonitor;
    settlingUntilMs: number;
  }) {
    this.info = info;
    this.monitor = monitor;
    this.admissions = new EndpointAdmissions({ endpointId: info.id });
    this.#settlingUntilMs = settlingUntilMs;
    this.#settlingSinceMs = settlingUntilMs - SETTLING_PERIOD_MS;
  }

  /** Whether admissions of the former owner may still be unknown here. */
  isSettling(nowMs: number): boolean {
    return nowMs < this.#settlingUntilMs && !this.#reportCoversAllAdmissions();
  }

  /** Ends settling: all admissions of the former owner are known. */
  markSettled(): void {
    this.#settlingUntilMs = 0;
  }

  /** Starts a new settling period. */
  restartSettling(nowMs: number): void {
    this.#settlingSinceMs = nowMs;
    this.#settlingUntilMs = nowMs + SETTLING_PERIOD_MS;
  }

  /**
   * Whether a report that includes all earlier admissions shows no more load
   * than the admissions known to this node.
   */
  #reportCoversAllAdmissions(): boolean {
    const { report, probedAtMs } = this.monitor;
    return report !== undefined &&
      probedAtMs >= this.#settlingSinceMs + REPORT_CATCH_UP_MS &&
      report.inFlight <= this.admissions.inFlight;
  }

  /** Whether the endpoint may receive new requests. */
  get inService(): boolean {
    const { health } = this.monitor;
    return this.info.state === "live" &&
      (health === "starting" || health === "ready");
  }

  /** Records when the endpoint was last idle; call before each admission. */
  trackIdle(nowMs: number): void {
    if (this.admissions.inFlight === 0) {
      this.#lastIdleMs = nowMs;
    }
  }

  /**
   * Load that counts towards the mean. Excludes admissions that the load
   * report does not confirm, such as those of a dead entry node.
   */
  loadForMean(): number {
    const { report, probedAtMs } = this.monitor;
    const { inFlight } = this.admissions;
    if (report === undefined) {
      return 0;
    }
    const recent = this.admissions.countOpenedAfter(
      probedAtMs - MAX_REPORT_LAG_MS,
    );
    return Math.min(inFlight, report.inFlight + recent);
  }

  /** Maximum in-flight requests, including the one to be admitted. */
  limit(
    { service, serviceLoad, reachableFraction, nowMs }: LimitContext,
  ): number {
    const loadBound = loadLimit({
      loadMultiple: service.load_multiple,
      totalInFlight: serviceLoad.inFlight,
      endpoints: serviceLoad.endpoints,
      maxInFlight: service.max_in_flight,
    });
    const coldStartBound = Math.min(
      loadBound,
      this.#coldStartLimit(service, nowMs),
    );
    // Nodes out of reach may admit to the endpoint as well.
    const reachableBound = reachableFraction < 1
      ? Math.max(1, Math.floor(coldStartBound * reachableFraction))
      : coldStartBound;
    return this.isSettling(nowMs)
      ? this.#settlingLimit(reachableBound)
      : reachableBound;
  }

  #coldStartLimit(service: Service, nowMs: number): number {
    const { initial, completed_per_step } = service.cold_start;
    const coldStart = {
      initialLimit: initial,
      completedPerStep: completed_per_step,
    };
    const completed = this.monitor.report?.completed ?? 0;
    const confirmed = this.isKnownNotRestarted(nowMs) ? completed : 0;
    return coldStartLimit(coldStart, confirmed);
  }

  /**
   * Whether the endpoint is still the process that sent the last report. An
   * endpoint idle since then may have restarted unnoticed, and is treated as
   * cold until its next report. A restart under load shows at once as lost
   * connections.
   */
  isKnownNotRestarted(nowMs: number): boolean {
    const { probedAtMs } = this.monitor;
    const ageMs = nowMs - probedAtMs;
    const busySinceProbe = this.admissions.inFlight > 0 &&
      probedAtMs >= this.#lastIdleMs;
    return ageMs <= FRESH_REPORT_MAX_AGE_MS ||
      (busySinceProbe && ageMs <= USABLE_REPORT_MAX_AGE_MS);
  }

  /**
   * Limit while settling. Leaves capacity for admissions that the load report
   * counts but this node does not know.
   */
  #settlingLimit(limit: number): number {
    const reported = this.monitor.report?.inFlight ?? limit;
    const unaccounted = Math.max(0, reported - this.admissions.inFlight);
    const remaining = Math.floor(limit * SETTLING_LIMIT_FRACTION) - unaccounted;
    return Math.max(
      0,
      Math.min(limit - unaccounted, this.admissions.inFlight + remaining),
    );
  }
}
