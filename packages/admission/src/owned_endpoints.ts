import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { EndpointClient } from "@limpetshed/endpoint";
import { rendezvousRank, type Rng } from "@limpetshed/hashing";
import {
  CONTACT_TIMEOUT_MS,
  type EndpointDirectory,
  type EndpointInfo,
  type Membership,
  type OwnerMap,
} from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import { ADMISSION_TTL_MS } from "./endpoint_admissions.ts";
import { EndpointMonitor } from "./endpoint_monitor.ts";
import { OwnedEndpoint, SETTLING_PERIOD_MS } from "./owned_endpoint.ts";

/** Options of {@linkcode OwnedEndpoints}. */
export interface OwnedEndpointsOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  directory: EndpointDirectory;
  client: EndpointClient;
  transport: PeerTransport;
  handlers: PeerHandlers;
}

const HANDOVER_TIMEOUT_MS = 1_000;

/**
 * The endpoints that this node owns. On ownership changes it acquires new
 * endpoints and hands over those now owned by another node.
 */
export class OwnedEndpoints {
  readonly #options: OwnedEndpointsOptions;
  readonly #owned = new Map<string, OwnedEndpoint>();
  /** Handovers received before this node acquired the endpoint. */
  readonly #earlyHandovers = new Map<string, peerpb.HandoverRequest>();
  #handledContactLosses = 0;
  #started = false;
  #closed = false;

  constructor(options: OwnedEndpointsOptions) {
    this.#options = options;
    const { membership, directory, handlers } = options;
    membership.onChange(() => {
      this.#updateOwnership();
      this.#shortenExpiryOfDeadEntryNodes();
    });
    directory.onChange(() => this.#updateOwnership());
    handlers.on("handoverRequest", (req) => this.#onHandover(req));
  }

  /** Starts acquiring endpoints. */
  start(): void {
    this.#started = true;
    this.#updateOwnership();
  }

  /** Stops probing; nothing is owned afterwards. */
  async close(): Promise<void> {
    this.#closed = true;
    const owned = this.all();
    this.#owned.clear();
    await Promise.all(owned.map(({ monitor }) => monitor.close()));
  }

  /** Returns an owned endpoint by id. */
  get(id: string): OwnedEndpoint | undefined {
    return this.#owned.get(id);
  }

  /** Returns all owned endpoints. */
  all(): OwnedEndpoint[] {
    return [...this.#owned.values()];
  }

  /** Renews admissions to owned endpoints; unknown ones are added. */
  mergeOpenAdmissions(open: readonly peerpb.OpenAdmission[]): void {
    const openedAtMs = this.#options.clock.monotonicMs();
    const expiresAtMs = openedAtMs + ADMISSION_TTL_MS;
    for (const { admissionId: id, endpointId, ...rest } of open) {
      this.#owned.get(endpointId)?.admissions.merge({
        id,
        fingerprint: rest.fingerprint,
        entryNodeId: rest.entryNodeId,
        suspect: false,
        openedAtMs,
        expiresAtMs,
      });
    }
  }

  /** Whether contact with the peers is lost; they may own the endpoints now. */
  isFenced(): boolean {
    const { membership } = this.#options;
    return membership.hasPeers() &&
      membership.lastAckAgeMs > CONTACT_TIMEOUT_MS;
  }

  /**
   * Restarts settling after a loss of contact, during which another owner may
   * have admitted requests to the endpoints.
   */
  restartSettlingAfterContactLoss(): void {
    const { membership, clock } = this.#options;
    if (membership.contactLossCount !== this.#handledContactLosses) {
      this.#handledContactLosses = membership.contactLossCount;
      const nowMs = clock.monotonicMs();
      this.#owned.forEach((owned) => owned.restartSettling(nowMs));
    }
  }

  /** Acquires endpoints now owned by this node and hands over the others. */
  #updateOwnership(): void {
    const { membership, owners, directory } = this.#options;
    if (this.#closed || !this.#started) {
      return;
    }
    this.restartSettlingAfterContactLoss();
    const { region } = membership.self;
    const regionEndpoints = directory.all().filter((info) =>
      info.region === region
    );
    const listedIds = new Set(regionEndpoints.map((info) => info.id));
    for (const owned of [...this.#owned.values()]) {
      const { id } = owned.info;
      const { owner } = owners.lookupOwners(region, id);
      if (!listedIds.has(id)) {
        this.#drop(owned);
      } else if (owner !== membership.self.id) {
        void this.#handOver(owned, owner);
        this.#drop(owned);
      }
    }
    for (const info of regionEndpoints) {
      if (owners.isOwner(region, info.id)) {
        this.#acquire(info);
      }
    }
  }

  /** Shortens the expiry of admissions from dead entry nodes. */
  #shortenExpiryOfDeadEntryNodes(): void {
    const { membership, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { id, state } of membership.nodes()) {
      if (state === "dead") {
        this.#owned.forEach(({ admissions }) =>
          admissions.onEntryNodeDead(id, nowMs)
        );
      }
    }
  }

  #acquire(info: EndpointInfo): void {
    const known = this.#owned.get(info.id);
    if (known?.info.address === info.address) {
      known.info.state = info.state;
      return;
    }
    if (known !== undefined) {
      this.#drop(known);
    }
    const { clock, rng, client, logger } = this.#options;
    const monitor = new EndpointMonitor({
      clock,
      rng,
      client,
      target: { id: info.id, address: info.address },
      onProbed: () => this.#owned.get(info.id)?.admissions.retryWaiters(),
    });
    const owned = new OwnedEndpoint({
      info: { ...info },
      monitor,
      settlingUntilMs: clock.monotonicMs() + SETTLING_PERIOD_MS,
    });
    if (this.#isOnlyNode()) {
      owned.markSettled();
    }
    this.#owned.set(info.id, owned);
    monitor.start();
    const earlyHandover = this.#earlyHandovers.get(info.id);
    if (earlyHandover !== undefined) {
      this.#earlyHandovers.delete(info.id);
      this.#onHandover(earlyHandover);
    }
    logger.debug({ endpoint: info.id }, "endpoint acquired");
  }

  /** Whether the region has no other node that could have admitted requests. */
  #isOnlyNode(): boolean {
    const { id, region } = this.#options.membership.self;
    return this.#options.membership.nodes().every((view) =>
      view.id === id || view.region !== region
    );
  }

  #drop(owned: OwnedEndpoint): void {
    this.#owned.delete(owned.info.id);
    // The waiters are refused now that the endpoint is not owned.
    owned.admissions.retryWaiters();
    void owned.monitor.close();
  }

  async #handOver(
    owned: OwnedEndpoint,
    newOwner: string | undefined,
  ): Promise<void> {
    const { membership, transport, logger, clock } = this.#options;
    const target = newOwner === undefined
      ? undefined
      : membership.node(newOwner);
    if (target === undefined || target.id === membership.self.id) {
      return;
    }
    const message = create(peerpb.HandoverRequestSchema, {
      endpointId: owned.info.id,
      fromNodeId: membership.self.id,
      settled: !owned.isSettling(clock.monotonicMs()),
      open: owned.admissions.all().map(({ id, fingerprint, entryNodeId }) => ({
        admissionId: id,
        endpointId: owned.info.id,
        fingerprint,
        entryNodeId,
      })),
    });
    try {
      await transport.call(target.address, "handoverRequest", {
        message,
        timeoutMs: HANDOVER_TIMEOUT_MS,
      });
    } catch (err) {
      logger.debug({ err, endpoint: owned.info.id }, "handover failed");
    }
  }

  /**
   * Merges the admissions of the sender, which has stopped admitting and sent
   * all it knows. Ends settling if the sender was the former owner.
   */
  #onHandover(req: peerpb.HandoverRequest): peerpb.HandoverResponse {
    const owned = this.#owned.get(req.endpointId);
    if (owned === undefined) {
      this.#keepEarlyHandover(req);
    } else if (!this.isFenced()) {
      this.mergeOpenAdmissions(req.open);
      if (req.settled && this.#isFormerOwner(req)) {
        owned.markSettled();
        owned.admissions.retryWaiters();
      }
    }
    return create(peerpb.HandoverResponseSchema);
  }

  /** Whether the sender would own the endpoint if this node did not exist. */
  #isFormerOwner({ endpointId, fromNodeId }: peerpb.HandoverRequest): boolean {
    const { membership, owners } = this.#options;
    const { id, region } = membership.self;
    const others = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    const candidates = new Set([...others, fromNodeId]);
    return rendezvousRank(endpointId, [...candidates])[0] === fromNodeId;
  }

  /**
   * Keeps a handover that arrived before this node learned that it owns the
   * endpoint; drops it after the settling period.
   */
  #keepEarlyHandover(req: peerpb.HandoverRequest): void {
    this.#earlyHandovers.set(req.endpointId, req);
    this.#options.clock.setTimer(SETTLING_PERIOD_MS, () => {
      if (this.#earlyHandovers.get(req.endpointId) === req) {
        this.#earlyHandovers.delete(req.endpointId);
      }
    });
  }
}
