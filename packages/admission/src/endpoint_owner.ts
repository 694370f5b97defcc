import { create } from "@bufbuild/protobuf";
import {
  type Clock,
  invariant,
  repeat,
  type Repeating,
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
import { ADMISSION_TTL_MS } from "./endpoint_ledger.ts";
import { LoadSums, type ServiceLoad } from "./load_sums.ts";
import type { OwnedEndpoint } from "./owned_endpoint.ts";
import { OwnedEndpoints } from "./owned_endpoints.ts";
import { SumsExchange } from "./sums_exchange.ts";

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
  /** The configuration in force. */
  config: () => ConfigSnapshot;
}

const EXPIRE_INTERVAL_MS = 1_000;
const MAX_WAITERS_PER_ENDPOINT = 64;

/** Admits work to the endpoints that this node owns. */
export class EndpointOwner {
  readonly #options: EndpointOwnerOptions;
  readonly #owned: OwnedEndpoints;
  readonly #exchange: SumsExchange;
  readonly sums: LoadSums;
  #expiring: Repeating | undefined;

  constructor(options: EndpointOwnerOptions) {
    this.#options = options;
    const { clock, membership, handlers } = options;
    this.sums = new LoadSums({
      clock,
      membership,
      own: () => this.#ownLoad(),
    });
    this.#owned = new OwnedEndpoints(options);
    this.#exchange = new SumsExchange({
      ...options,
      sums: this.sums,
      hasWork: () => this.owned().some(({ ledger }) => ledger.inFlight > 0),
    });
    handlers.on("admitRequest", (req) => this.admit(req));
    handlers.on("renewRequest", (req) => this.renew(req));
    handlers.on("releaseRequest", (req) => this.release(req));
  }

  /** Starts taking endpoints and dropping lapsed admissions. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#owned.start();
    this.#exchange.start();
    this.#expiring = repeat(clock, () => this.#expire(), {
      everyMs: EXPIRE_INTERVAL_MS,
      onError: (err) => logger.error({ err }, "expiry failed"),
    });
  }

  /** Stops probing and admitting. */
  async close(): Promise<void> {
    await this.#owned.close();
    await this.#expiring?.close();
    await this.#exchange.close();
  }

  /** The endpoints that this node owns now. */
  owned(): readonly OwnedEndpoint[] {
    return this.#owned.all();
  }

  /** Answers a request for admission. */
  async admit(req: peerpb.AdmitRequest): Promise<peerpb.AdmitResponse> {
    this.sums.absorbSums(req.loadSums);
    const first = this.#tryAdmit(req);
    const { AT_LIMIT, SETTLING } = AdmitResult;
    const mayWait = first.result === AT_LIMIT || first.result === SETTLING;
    if (!mayWait || req.waitMs === 0) {
      return this.#finish(req, first);
    }
    return this.#finish(req, await this.#waitForRoom(req, first));
  }

  /** Keeps open admissions alive; takes note of those it did not know. */
  renew(req: peerpb.RenewRequest): peerpb.RenewResponse {
    this.#owned.announce(req.open);
    return create(peerpb.RenewResponseSchema);
  }

  /** Ends admissions, each with its outcome. */
  release(req: peerpb.ReleaseRequest): peerpb.ReleaseResponse {
    for (const released of req.released) {
      this.#releaseOne(released);
    }
    return create(peerpb.ReleaseResponseSchema);
  }

  #finish(
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
      loadSums: this.sums.ownSum(service),
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
    if (this.#owned.fenced()) {
      return refuse(AdmitResult.SETTLING);
    }
    this.#owned.settleAfterGap();
    const nowMs = clock.monotonicMs();
    return this.#admitWithin(req, owned, { service, nowMs });
  }

  #admitWithin(
    req: peerpb.AdmitRequest,
    owned: OwnedEndpoint,
    { service, nowMs }: { service: Service; nowMs: number },
  ): Decision {
    const { ledger } = owned;
    owned.noteBeforeAdmission(nowMs);
    const limit = owned.limit({
      service,
      total: this.sums.total(owned.info.service),
      reachablePart: this.#options.membership.reachablePart(),
      nowMs,
    });
    const spareLimit = Math.floor(service.max_in_flight * service.spare_part);
    const allowed = req.priority === Priority.SPARE
      ? Math.min(limit, spareLimit)
      : limit;
    if (!owned.provenSameBoot(nowMs)) {
      void owned.monitor.probe();
    }
    const { inFlight } = ledger;
    if (inFlight >= allowed || (req.suspect && ledger.runsSuspect)) {
      const { SETTLING, AT_LIMIT } = AdmitResult;
      const result = owned.isSettling(nowMs) ? SETTLING : AT_LIMIT;
      return { result, inFlight, limit };
    }
    ledger.open({
      id: req.admissionId,
      fingerprint: req.fingerprint,
      entryNodeId: req.entryNodeId,
      suspect: req.suspect,
      openedAtMs: nowMs,
      expiresAtMs: nowMs + ADMISSION_TTL_MS,
    }, { limit });
    this.#checkAdmission(owned);
    return { result: AdmitResult.GRANTED, inFlight: inFlight + 1, limit };
  }

  #checkAdmission({ info }: OwnedEndpoint): void {
    const zoneIn = this.#options.config().isZoneIn(info.availabilityZone);
    invariant("admission.only_in_zone", zoneIn, { endpoint: info.id });
    invariant("admission.only_live", info.state === "live", {
      endpoint: info.id,
    });
  }

  async #waitForRoom(
    req: peerpb.AdmitRequest,
    first: Decision,
  ): Promise<Decision> {
    const ledger = this.#owned.get(req.endpointId)?.ledger;
    if (ledger === undefined || ledger.waiting >= MAX_WAITERS_PER_ENDPOINT) {
      return first;
    }
    return await new Promise((resolve) => {
      let latest = first;
      const leave = ledger.wait(() => {
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
        leave();
        resolve(latest);
      });
    });
  }

  #releaseOne(released: peerpb.ReleasedAdmission): void {
    const owned = this.#owned.get(released.endpointId);
    if (owned === undefined) {
      return;
    }
    owned.ledger.close(released.admissionId);
    switch (released.outcome) {
      case WorkOutcome.CONNECTION_LOST:
      case WorkOutcome.NOT_SENT:
        owned.monitor.suspect();
        return;
      case WorkOutcome.UNSPECIFIED:
      case WorkOutcome.COMPLETED:
      case WorkOutcome.CANCELLED:
      case WorkOutcome.FAILED:
        return;
    }
  }

  #ownLoad(): Map<string, ServiceLoad> {
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

  #expire(): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    let inFlight = 0;
    for (const owned of this.#owned.all()) {
      const expired = owned.ledger.expire(nowMs);
      if (expired > 0) {
        metrics.count("admission.expired", expired);
      }
      owned.ledger.wake();
      inFlight += owned.ledger.inFlight;
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
