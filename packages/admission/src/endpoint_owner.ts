import { create } from "@bufbuild/protobuf";
import {
  type Clock,
  invariant,
  repeat,
  type Repeating,
} from "@limpetshed/base";
import type { ConfigSnapshot, Service } from "@limpetshed/config";
import type { EndpointClient, LoadReport } from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";
import {
  type EndpointDirectory,
  type EndpointInfo,
  type Membership,
  OUT_OF_CONTACT_MS,
  type OwnerMap,
} from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { CrashTracker } from "./crash_tracker.ts";
import { ADMISSION_TTL_MS } from "./endpoint_ledger.ts";
import { EndpointMonitor } from "./endpoint_monitor.ts";
import { LoadSums, type ServiceLoad, SMALL_FLEET_NODES } from "./load_sums.ts";
import { OwnedEndpoint, SETTLE_MS } from "./owned_endpoint.ts";

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
  /** Receives each endpoint's load report as it comes. */
  onReport?: (info: EndpointInfo, report: LoadReport) => void;
}

const EXPIRE_INTERVAL_MS = 1_000;
const HANDOVER_TIMEOUT_MS = 1_000;
const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 400;
/** Sums younger than this need no exchange. */
const SUMS_FRESH_MS = 400;
const MAX_WAITERS_PER_ENDPOINT = 64;

/** Admits work to the endpoints that this node owns. */
export class EndpointOwner {
  readonly #options: EndpointOwnerOptions;
  readonly #owned = new Map<string, OwnedEndpoint>();
  readonly sums: LoadSums;
  /** Endpoints handed over before this node took them. */
  readonly #handedOver = new Map<string, peerpb.HandoverRequest>();
  #expiring: Repeating | undefined;
  #exchanging: Repeating | undefined;
  #contactGaps = 0;
  #previousEligible: readonly string[] = [];
  #closed = false;

  constructor(options: EndpointOwnerOptions) {
    this.#options = options;
    const { membership, directory, handlers } = options;
    this.sums = new LoadSums({
      clock: options.clock,
      membership,
      own: () => this.#ownLoad(),
    });
    membership.onChange(() => this.#reassign());
    directory.onChange(() => this.#reassign());
    handlers.on("admitRequest", (req) => this.admit(req));
    handlers.on("renewRequest", (req) => this.renew(req));
    handlers.on("releaseRequest", (req) => this.release(req));
    handlers.on("handoverRequest", (req) => this.#onHandover(req));
    handlers.on("loadSumsRequest", (req) => this.#onLoadSums(req));
  }

  /** Starts taking endpoints and dropping lapsed admissions. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#reassign();
    this.#expiring = repeat(clock, () => this.#expire(), {
      everyMs: EXPIRE_INTERVAL_MS,
      onError: (err) => logger.error({ err }, "expiry failed"),
    });
    this.#exchanging = repeat(clock, () => this.#exchangeSums(), {
      everyMs: EXCHANGE_INTERVAL_MS,
      onError: (err) => logger.debug({ err }, "load sums not exchanged"),
    });
  }

  /** Stops probing and admitting. */
  async close(): Promise<void> {
    this.#closed = true;
    const owned = [...this.#owned.values()];
    this.#owned.clear();
    await Promise.all(owned.map(({ monitor }) => monitor.close()));
    await this.#expiring?.close();
    await this.#exchanging?.close();
  }

  /** The endpoints that this node owns now. */
  owned(): readonly OwnedEndpoint[] {
    return [...this.#owned.values()];
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
    const openedAtMs = this.#options.clock.monotonicMs();
    const expiresAtMs = openedAtMs + ADMISSION_TTL_MS;
    for (const open of req.open) {
      const { admissionId: id, fingerprint } = open;
      this.#owned.get(open.endpointId)?.ledger.announce({
        id,
        fingerprint,
        suspect: false,
        openedAtMs,
        expiresAtMs,
      });
    }
    return create(peerpb.RenewResponseSchema);
  }

  /** Ends admissions, each with its outcome. */
  release(req: peerpb.ReleaseRequest): peerpb.ReleaseResponse {
    for (const released of req.released) {
      this.#releaseOne(released);
    }
    return create(peerpb.ReleaseResponseSchema);
  }

  /** Gives all endpoints to their next owners; on a planned stop. */
  async handOverAll(): Promise<void> {
    const { membership, owners } = this.#options;
    const self = membership.self.id;
    await Promise.all([...this.#owned.values()].map(async (owned) => {
      const next = owners.owners(owned.info.region, owned.info.id);
      const to = next.owner === self ? next.standby : next.owner;
      await this.#handOver(owned, to);
    }));
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
    if (info === undefined || this.#closed) {
      return refuse(AdmitResult.NOT_IN_SERVICE);
    }
    const owned = this.#owned.get(info.id);
    if (owned === undefined || !owners.isOwner(info.region, info.id)) {
      return refuse(AdmitResult.NOT_OWNER);
    }
    const snapshot = config();
    if (!snapshot.zoneIn(info.availabilityZone)) {
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
    if (this.#fenced()) {
      return refuse(AdmitResult.SETTLING);
    }
    this.#settleAfterGap();
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
      suspect: req.suspect,
      openedAtMs: nowMs,
      expiresAtMs: nowMs + ADMISSION_TTL_MS,
    }, { limit });
    this.#checkAdmission(owned);
    return { result: AdmitResult.GRANTED, inFlight: inFlight + 1, limit };
  }

  #checkAdmission({ info }: OwnedEndpoint): void {
    const zoneIn = this.#options.config().zoneIn(info.availabilityZone);
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
      });
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
    for (const owned of this.#owned.values()) {
      const { service, availabilityZone } = owned.info;
      const load = loads.get(service) ?? { inFlight: 0, endpoints: 0 };
      if (owned.inService && snapshot.zoneIn(availabilityZone)) {
        load.inFlight += owned.loadForMean();
        load.endpoints += 1;
      }
      loads.set(service, load);
    }
    return loads;
  }

  /**
   * In a small fleet, keeps every peer's sums young. In a larger one a single
   * node's sum changes the mean little, and heartbeats are enough.
   */
  async #exchangeSums(): Promise<void> {
    const { membership, owners, transport } = this.#options;
    const { id, region } = membership.self;
    const peers = owners.eligible(region).filter((other) => other !== id);
    const oldest = this.sums.oldest(peers);
    const needless = oldest === undefined || oldest.ageMs < SUMS_FRESH_MS ||
      peers.length >= SMALL_FLEET_NODES || !this.#hasWork();
    if (needless) {
      return;
    }
    const address = membership.node(oldest.nodeId)?.address ?? "";
    const res = await transport.call(address, "loadSumsRequest", {
      message: create(peerpb.LoadSumsRequestSchema, {
        loadSums: this.sums.forMessage(0),
      }),
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    this.sums.absorbSums(res.loadSums);
  }

  /** An owner without open work may admit one request whatever the mean. */
  #hasWork(): boolean {
    return this.owned().some(({ ledger }) => ledger.inFlight > 0);
  }

  #onLoadSums(req: peerpb.LoadSumsRequest): peerpb.LoadSumsResponse {
    this.sums.absorbSums(req.loadSums);
    return create(peerpb.LoadSumsResponseSchema, {
      loadSums: this.sums.forMessage(0),
    });
  }

  #expire(): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    let inFlight = 0;
    for (const owned of this.#owned.values()) {
      const expired = owned.ledger.expire(nowMs);
      if (expired > 0) {
        metrics.count("admission.expired", expired);
      }
      owned.ledger.wake();
      inFlight += owned.ledger.inFlight;
    }
    metrics.gauge("endpoint.in_flight", inFlight);
  }

  /** Takes the endpoints that are now this node's, hands over the others. */
  #reassign(): void {
    const { membership, owners, directory } = this.#options;
    if (this.#closed) {
      return;
    }
    this.#settleAfterGap();
    const { region } = membership.self;
    const local = directory.all().filter((info) => info.region === region);
    const present = new Set(local.map((info) => info.id));
    for (const owned of [...this.#owned.values()]) {
      const { id } = owned.info;
      const { owner } = owners.owners(region, id);
      if (!present.has(id)) {
        this.#drop(owned);
      } else if (owner !== membership.self.id) {
        void this.#handOver(owned, owner);
        this.#drop(owned);
      }
    }
    for (const info of local) {
      if (owners.isOwner(region, info.id)) {
        this.#take(info);
      }
    }
    this.#previousEligible = membership.eligible(region);
  }

  /** Out of contact for a while: others may have admitted in its place. */
  #settleAfterGap(): void {
    const { membership, clock } = this.#options;
    if (membership.timesOutOfContact !== this.#contactGaps) {
      this.#contactGaps = membership.timesOutOfContact;
      const nowMs = clock.monotonicMs();
      this.#owned.forEach((owned) => owned.unsettle(nowMs));
    }
  }

  #take(info: EndpointInfo): void {
    const known = this.#owned.get(info.id);
    if (known !== undefined) {
      Object.assign(known.info, info);
      return;
    }
    const { clock, rng, client, logger } = this.#options;
    const monitor = new EndpointMonitor({
      clock,
      rng,
      client,
      target: { id: info.id, address: info.address },
      onProbed: () => this.#onProbed(info.id),
    });
    const owned = new OwnedEndpoint({
      info: { ...info },
      monitor,
      settleUntilMs: clock.monotonicMs() + SETTLE_MS,
    });
    if (this.#wasFirstOwner()) {
      owned.settle();
    }
    this.#owned.set(info.id, owned);
    monitor.start();
    const handedOver = this.#handedOver.get(info.id);
    if (handedOver !== undefined) {
      this.#handedOver.delete(info.id);
      this.#onHandover(handedOver);
    }
    logger.debug({ endpoint: info.id }, "endpoint taken");
  }

  /** No other node of the region can have admitted anything before. */
  #wasFirstOwner(): boolean {
    const { membership } = this.#options;
    const { id, region } = membership.self;
    return membership.nodes().every((view) =>
      view.id === id || view.region !== region
    ) && this.#previousEligible.length <= 1;
  }

  #drop(owned: OwnedEndpoint): void {
    this.#owned.delete(owned.info.id);
    owned.ledger.wake();
    void owned.monitor.close();
  }

  #onProbed(id: string): void {
    const owned = this.#owned.get(id);
    const report = owned?.monitor.report;
    if (owned !== undefined && report !== undefined) {
      owned.ledger.wake();
      this.#options.onReport?.(owned.info, report);
    }
  }

  async #handOver(
    owned: OwnedEndpoint,
    to: string | undefined,
  ): Promise<void> {
    const { membership, transport, logger } = this.#options;
    const target = to === undefined ? undefined : membership.node(to);
    if (target === undefined || target.id === membership.self.id) {
      return;
    }
    const message = create(peerpb.HandoverRequestSchema, {
      endpointId: owned.info.id,
      fromNodeId: membership.self.id,
      open: owned.ledger.all().map(({ id, fingerprint }) => ({
        admissionId: id,
        endpointId: owned.info.id,
        fingerprint,
      })),
    });
    try {
      await transport.call(target.address, "handoverRequest", {
        message,
        timeoutMs: HANDOVER_TIMEOUT_MS,
      });
    } catch (err) {
      logger.debug({ err, endpoint: owned.info.id }, "handover not answered");
    }
  }

  /** The former owner admits nothing more and has told all it knows. */
  #onHandover(req: peerpb.HandoverRequest): peerpb.HandoverResponse {
    const owned = this.#owned.get(req.endpointId);
    if (owned === undefined) {
      this.#rememberHandover(req);
    } else if (!this.#fenced()) {
      this.renew(create(peerpb.RenewRequestSchema, { open: req.open }));
      owned.settle();
      owned.ledger.wake();
    }
    return create(peerpb.HandoverResponseSchema);
  }

  /** Kept for a short while, until the view here shows the change too. */
  #rememberHandover(req: peerpb.HandoverRequest): void {
    this.#handedOver.set(req.endpointId, req);
    this.#options.clock.setTimer(SETTLE_MS, () => {
      if (this.#handedOver.get(req.endpointId) === req) {
        this.#handedOver.delete(req.endpointId);
      }
    });
  }

  /** Out of contact: a peer may have taken this node's place. */
  #fenced(): boolean {
    const { membership } = this.#options;
    return membership.hasPeers() &&
      membership.lastAckAgeMs > OUT_OF_CONTACT_MS;
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
