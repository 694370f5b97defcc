import type { Service } from "@limpetshed/config";
import type { EndpointInfo } from "@limpetshed/membership";
import { EndpointLedger } from "./endpoint_ledger.ts";
import { coldStartLimit, loadLimit } from "./endpoint_limit.ts";
import type { EndpointMonitor } from "./endpoint_monitor.ts";
import type { ServiceLoad } from "./load_sums.ts";

/** What the limit of an owned endpoint depends on at one moment. */
export interface LimitContext {
  service: Service;
  total: ServiceLoad;
  /** Part of the region's nodes that this node reaches, in `(0, 1]`. */
  reachablePart: number;
  nowMs: number;
}

/** Milliseconds a new owner waits for admissions to be announced. */
export const SETTLE_MS = 2_500;
/**
 * Milliseconds after which a load report shows all that was admitted before
 * the change of owner: a grant's use and the report's lag.
 */
const REPORT_SHOWS_ALL_MS = 1_500;
/** Part of the limit that a settling owner may use. */
const SETTLING_PART = 0.25;
/** Most by which an endpoint's load report lags. */
const REPORT_LAG_MS = 1_000;
/** Age of a report up to which an idle endpoint counts as not restarted. */
const FRESH_REPORT_MS = 300;
/** Age of a report above which it proves nothing, as after a pause. */
const OLDEST_REPORT_MS = 2_500;

/** One endpoint that this node owns: its monitor, ledger and limit. */
export class OwnedEndpoint {
  readonly info: EndpointInfo;
  readonly monitor: EndpointMonitor;
  readonly ledger: EndpointLedger;
  #settleUntilMs: number;
  #settleFromMs: number;
  #lastIdleMs = Number.POSITIVE_INFINITY;

  constructor({ info, monitor, settleUntilMs }: {
    info: EndpointInfo;
    monitor: EndpointMonitor;
    settleUntilMs: number;
  }) {
    this.info = info;
    this.monitor = monitor;
    this.ledger = new EndpointLedger({ endpointId: info.id });
    this.#settleUntilMs = settleUntilMs;
    this.#settleFromMs = settleUntilMs - SETTLE_MS;
  }

  /** The former owner's admissions may not all be known yet. */
  isSettling(nowMs: number): boolean {
    return nowMs < this.#settleUntilMs && !this.#reportShowsAll();
  }

  /** The former owner has handed over: all its admissions are known. */
  settle(): void {
    this.#settleUntilMs = 0;
  }

  /** Starts settling anew. */
  unsettle(nowMs: number): void {
    this.#settleFromMs = nowMs;
    this.#settleUntilMs = nowMs + SETTLE_MS;
  }

  /** A late enough report shows no work that the ledger does not know. */
  #reportShowsAll(): boolean {
    const { report, probedAtMs } = this.monitor;
    return report !== undefined &&
      probedAtMs >= this.#settleFromMs + REPORT_SHOWS_ALL_MS &&
      report.inFlight <= this.ledger.inFlight;
  }

  /** In service: new work may go there. */
  get inService(): boolean {
    const { health } = this.monitor;
    return this.info.state === "live" &&
      (health === "starting" || health === "ready");
  }

  /** Takes note, before each admission, of whether the endpoint is idle. */
  noteBeforeAdmission(nowMs: number): void {
    if (this.ledger.inFlight === 0) {
      this.#lastIdleMs = nowMs;
    }
  }

  /**
   * The endpoint's load as it counts for the mean: admissions that the load
   * report does not bear out, as those of a lost entry node, do not count.
   */
  loadForMean(): number {
    const { report, probedAtMs } = this.monitor;
    const { inFlight } = this.ledger;
    if (report === undefined) {
      return 0;
    }
    const recent = this.ledger.openedAfter(probedAtMs - REPORT_LAG_MS);
    return Math.min(inFlight, report.inFlight + recent);
  }

  /** Most requests that may be open once the next is admitted. */
  limit({ service, total, reachablePart, nowMs }: LimitContext): number {
    const bound = loadLimit({
      loadMultiple: service.load_multiple,
      totalInFlight: total.inFlight,
      endpoints: total.endpoints,
      maxInFlight: service.max_in_flight,
    });
    const bearable = Math.min(bound, this.#coldLimit(service, nowMs));
    const part = reachablePart < 1
      ? Math.max(1, Math.floor(bearable * reachablePart))
      : bearable;
    return this.isSettling(nowMs) ? this.#settlingLimit(part) : part;
  }

  #coldLimit(service: Service, nowMs: number): number {
    const { initial, completed_per_step } = service.cold_start;
    const coldStart = { initial, completedPerStep: completed_per_step };
    const completed = this.monitor.report?.completed ?? 0;
    const proven = this.provenSameBoot(nowMs) ? completed : 0;
    return coldStartLimit(coldStart, proven);
  }

  /**
   * An endpoint that was idle since its last report may have restarted
   * unseen, and counts as cold until it reports again. A restart under load
   * shows at once, by its lost connections.
   */
  provenSameBoot(nowMs: number): boolean {
    const { probedAtMs } = this.monitor;
    const ageMs = nowMs - probedAtMs;
    const busySinceProbe = this.ledger.inFlight > 0 &&
      probedAtMs >= this.#lastIdleMs;
    return ageMs <= FRESH_REPORT_MS ||
      (busySinceProbe && ageMs <= OLDEST_REPORT_MS);
  }

  /** Unknown admissions show in the report; keep well clear of the limit. */
  #settlingLimit(limit: number): number {
    const reported = this.monitor.report?.inFlight ?? limit;
    const unknown = Math.max(0, reported - this.ledger.inFlight);
    const room = Math.floor(limit * SETTLING_PART) - unknown;
    return Math.max(0, Math.min(limit - unknown, this.ledger.inFlight + room));
  }
}
