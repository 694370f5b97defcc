import { create } from "@bufbuild/protobuf";
import {
  type Clock,
  invariant,
  repeat,
  type RepeatingTask,
} from "@limpetshed/base";
import type { ConfigSnapshot, Service } from "@limpetshed/config";
import type { EndpointClient } from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";
import type {
  EndpointDirectory,
  Membership,
  OwnerMap,
} from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { CrashTracker } from "./crash_tracker.ts";
import { ADMISSION_TTL_MS } from "./endpoint_admissions.ts";
import { LoadSums, type ServiceLoad } from "./load_sums.ts";
import type { OwnedEndpoint } from "./owned_endpoint.ts";
import { OwnedEndpoints } from "./owned_endpoints.ts";
import { LoadSumExchange } from "./load_sum_exchange.ts";

const { AdmitResult, Priority, WorkOutcome } = peerpb;

/** Options of {@linkcode EndpointOwner}. */
export interface EndpointOwnerOptions {
  clock: Clock;
  rng: Rng;
  metrics: Metrics;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  directory: EndpointDirectory;
  client: EndpointClient;
  transport: PeerTransport;
  handlers: PeerHandlers;
  crashes: CrashTracker;
  /** Returns the current configuration. */
  config: () => ConfigSnapshot;
}

const EXPIRY_INTERVAL_MS = 1_000;
const MAX_WAITERS_PER_ENDPOINT = 64;

/** Admission control for the endpoints that this node owns. */
export class EndpointOwner {
  readonly #options: EndpointOwnerOptions;
  readonly #owned: OwnedEndpoints;
  readonly #loadSumExchange: LoadSumExchange;
  /** Load of each service, exchanged with the other owners. */
  readonly loadSums: LoadSums;
  #expiryLoop: RepeatingTask | undefined;

  constructor(options: EndpointOwnerOptions) {
    this.#options = options;
    const { clock, membership, handlers } = options;
    this.loadSums = new LoadSums({
      clock,
      membership,
      computeOwnLoads: () => this.#computeOwnLoads(),
    });
    this.#owned = new OwnedEndpoints(options);
    this.#loadSumExchange = new LoadSumExchange({
      ...options,
      loadSums: this.loadSums,
      hasOpenAdmissions: () =>
        this.owned().some(({ admissions }) => admissions.inFlight > 0),
    });
    handlers.on("admitRequest", (req) => this.admit(req));
    handlers.on("renewRequest", (req) => this.renew(req));
    handlers.on("releaseRequest", (req) => this.release(req));
  }

  /** Starts acquiring endpoints and removing expired admissions. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#owned.start();
    this.#loadSumExchange.start();
    this.#expiryLoop = repeat(clock, () => this.#removeExpired(), {
      intervalMs: EXPIRY_INTERVAL_MS,
      onError: (err) =>
        logger.error({ err }, "failed to remove expired admissions"),
    });
  }

  /** Stops probes, expiry and the load sum exchange. */
  async close(): Promise<void> {
    await this.#owned.close();
    await this.#expiryLoop?.close();
    await this.#loadSumExchange.close();
  }

  /** Returns the endpoints that this node owns. */
  owned(): readonly OwnedEndpoint[] {
    return this.#owned.all();
  }

  /** Handles an admission request; waits up to `waitMs` for capacity. */
  async admit(req: peerpb.AdmitRequest): Promise<peerpb.AdmitResponse> {
    this.loadSums.mergeSums(req.loadSums);
    const first = this.#tryAdmit(req);
    const { AT_LIMIT, SETTLING } = AdmitResult;
    const mayWait = first.result === AT_LIMIT || first.result === SETTLING;
    if (!mayWait || req.waitMs === 0) {
      return this.#respond(req, first);
    }
    return this.#respond(req, await this.#waitForCapacity(req, first));
  }

  /** Renews open admissions; unknown ones are added. */
  renew(req: peerpb.RenewRequest): peerpb.RenewResponse {
    this.#owned.mergeOpenAdmissions(req.open);
    return create(peerpb.RenewResponseSchema);
  }

  /** Removes ended admissions; probes endpoints whose connection failed. */
  release(req: peerpb.ReleaseRequest): peerpb.ReleaseResponse {
    for (const released of req.released) {
      this.#releaseOne(released);
    }
    return create(peerpb.ReleaseResponseSchema);
  }

  #respond(
    req: peerpb.AdmitRequest,
    decision: Decision,
  ): peerpb.AdmitResponse {
    const { metrics, directory, config } = this.#options;
    const granted = decision.result === AdmitResult.GRANTED;
    metrics.count(granted ? "admission.granted" : "admission.refused");
    const service = directory.get(req.endpointId)?.service ?? "";
    return create(peerpb.AdmitResponseSchema, {
      ...decision,
      configVersion: BigInt(config().version),
      loadSums: this.loadSums.ownSum(service),
    });
  }

  #tryAdmit(req: peerpb.AdmitRequest): Decision {
    const { directory, owners, config, clock } = this.#options;
    const info = directory.get(req.endpointId);
    if (info === undefined) {
      return refuse(AdmitResult.NOT_IN_SERVICE);
    }
    const owned = this.#owned.get(info.id);
    if (owned === undefined || !owners.isOwner(info.region, info.id)) {
      return refuse(AdmitResult.NOT_OWNER);
    }
    const snapshot = config();
    if (!snapshot.isZoneIn(info.availabilityZone)) {
      return refuse(AdmitResult.ZONE_OUT);
    }
    const service = snapshot.service(info.service);
    if (service !== undefined && owned.monitor.health === "unknown") {
      return refuse(AdmitResult.SETTLING);
    }
    if (service === undefined || !owned.inService) {
      return refuse(AdmitResult.NOT_IN_SERVICE);
    }
    if (this.#options.crashes.isQuarantined(req.fingerprint)) {
      return refuse(AdmitResult.QUARANTINED);
    }
    if (this.#owned.isFenced()) {
      return refuse(AdmitResult.SETTLING);
    }
    this.#owned.restartSettlingAfterContactLoss();
    const nowMs = clock.monotonicMs();
    return this.#admitWithinLimit(req, owned, { service, nowMs });
  }

  #admitWithinLimit(
    req: peerpb.AdmitRequest,
    owned: OwnedEndpoint,
    { service, nowMs }: { service: Service; nowMs: number },
  ): Decision {
    const { admissions } = owned;
    owned.trackIdle(nowMs);
    const limit = owned.limit({
      service,
      serviceLoad: this.loadSums.totalLoad(owned.info.service),
      reachableFraction: this.#options.membership.reachableFraction(),
      nowMs,
    });
    // Requests above their member's share may use only part of the capacity.
    const spareLimit = Math.floor(service.max_in_flight * service.spare_part);
    const allowed = req.priority === Priority.SPARE
      ? Math.min(limit, spareLimit)
      : limit;
    // Without a fresh report the endpoint counts as cold, with a lower limit.
    if (!owned.isKnownNotRestarted(nowMs)) {
      void owned.monitor.probe();
    }
    const { inFlight } = admissions;
    // At most one suspect request is admitted to an endpoint at a time.
    if (inFlight >= allowed || (req.suspect && admissions.hasSuspect)) {
      const { SETTLING, AT_LIMIT } = AdmitResult;
      const result = owned.isSettling(nowMs) ? SETTLING : AT_LIMIT;
      return { result, inFlight, limit };
    }
    admissions.open({
      id: req.admissionId,
      fingerprint: req.fingerprint,
      entryNodeId: req.entryNodeId,
      suspect: req.suspect,
      openedAtMs: nowMs,
      expiresAtMs: nowMs + ADMISSION_TTL_MS,
    }, { limit });
    this.#assertAdmissible(owned);
    return { result: AdmitResult.GRANTED, inFlight: inFlight + 1, limit };
  }

  #assertAdmissible({ info }: OwnedEndpoint): void {
    const zoneIn = this.#options.config().isZoneIn(info.availabilityZone);
    invariant("admission.only_in_zone", zoneIn, { endpoint: info.id });
    invariant("admission.only_live", info.state === "live", {
      endpoint: info.id,
    });
  }

  async #waitForCapacity(
    req: peerpb.AdmitRequest,
    first: Decision,
  ): Promise<Decision> {
    const admissions = this.#owned.get(req.endpointId)?.admissions;
    if (
      admissions === undefined || admissions.waiting >= MAX_WAITERS_PER_ENDPOINT
    ) {
      return first;
    }
    return await new Promise((resolve) => {
      let latest = first;
      const removeWaiter = admissions.addWaiter(() => {
        latest = this.#tryAdmit(req);
        const { AT_LIMIT, SETTLING } = AdmitResult;
        if (latest.result === AT_LIMIT || latest.result === SETTLING) {
          return false;
        }
        timer.cancel();
        resolve(latest);
        return true;
      }, { spare: req.priority === Priority.SPARE });
      const timer = this.#options.clock.setTimer(req.waitMs, () => {
        removeWaiter();
        resolve(latest);
      });
    });
  }

  #releaseOne(released: peerpb.ReleasedAdmission): void {
    const owned = this.#owned.get(released.endpointId);
    if (owned === undefined) {
      return;
    }
    owned.admissions.close(released.admissionId);
    switch (released.outcome) {
      case WorkOutcome.CONNECTION_LOST:
      case WorkOutcome.NOT_SENT:
        owned.monitor.markSuspect();
        return;
      case WorkOutcome.UNSPECIFIED:
      case WorkOutcome.COMPLETED:
      case WorkOutcome.CANCELLED:
      case WorkOutcome.FAILED:
        return;
    }
  }

  #computeOwnLoads(): Map<string, ServiceLoad> {
    const loads = new Map<string, ServiceLoad>();
    const snapshot = this.#options.config();
    for (const owned of this.#owned.all()) {
      const { service, availabilityZone } = owned.info;
      const load = loads.get(service) ?? { inFlight: 0, endpoints: 0 };
      if (owned.inService && snapshot.isZoneIn(availabilityZone)) {
        load.inFlight += owned.loadForMean();
        load.endpoints += 1;
      }
      loads.set(service, load);
    }
    return loads;
  }

  #removeExpired(): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    let inFlight = 0;
    for (const owned of this.#owned.all()) {
      const expired = owned.admissions.removeExpired(nowMs);
      if (expired > 0) {
        metrics.count("admission.expired", expired);
      }
      // Limits also change with time and with the load on other endpoints.
      owned.admissions.retryWaiters();
      inFlight += owned.admissions.inFlight;
    }
    metrics.gauge("endpoint.in_flight", inFlight);
  }
}

interface Decision {
  result: peerpb.AdmitResult;
  inFlight: number;
  limit: number;
}

function refuse(result: peerpb.AdmitResult): Decision {
  return { result, inFlight: 0, limit: 0 };
}
