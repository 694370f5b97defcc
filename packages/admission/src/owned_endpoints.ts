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
import { ADMISSION_TTL_MS } from "./endpoint_ledger.ts";
import { EndpointMonitor } from "./endpoint_monitor.ts";
import { OwnedEndpoint, SETTLE_MS } from "./owned_endpoint.ts";

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
 * The endpoints that this node owns: takes those that become its own, hands
 * over those that become another's.
 */
export class OwnedEndpoints {
  readonly #options: OwnedEndpointsOptions;
  readonly #owned = new Map<string, OwnedEndpoint>();
  /** Endpoints handed over before this node took them. */
  readonly #handedOver = new Map<string, peerpb.HandoverRequest>();
  #contactGaps = 0;
  #started = false;
  #closed = false;

  constructor(options: OwnedEndpointsOptions) {
    this.#options = options;
    const { membership, directory, handlers } = options;
    membership.onChange(() => {
      this.#reassign();
      this.#forgetDead();
    });
    directory.onChange(() => this.#reassign());
    handlers.on("handoverRequest", (req) => this.#onHandover(req));
  }

  /** Starts taking endpoints. */
  start(): void {
    this.#started = true;
    this.#reassign();
  }

  /** Stops probing; nothing is owned afterwards. */
  async close(): Promise<void> {
    this.#closed = true;
    const owned = this.all();
    this.#owned.clear();
    await Promise.all(owned.map(({ monitor }) => monitor.close()));
  }

  /** Finds an owned endpoint. */
  get(id: string): OwnedEndpoint | undefined {
    return this.#owned.get(id);
  }

  /** All owned endpoints. */
  all(): OwnedEndpoint[] {
    return [...this.#owned.values()];
  }

  /** Takes note of open admissions, those it did not know included. */
  announce(open: readonly peerpb.OpenAdmission[]): void {
    const openedAtMs = this.#options.clock.monotonicMs();
    const expiresAtMs = openedAtMs + ADMISSION_TTL_MS;
    for (const { admissionId: id, endpointId, ...rest } of open) {
      this.#owned.get(endpointId)?.ledger.announce({
        id,
        fingerprint: rest.fingerprint,
        entryNodeId: rest.entryNodeId,
        suspect: false,
        openedAtMs,
        expiresAtMs,
      });
    }
  }

  /** Out of contact: a peer may have taken this node's place. */
  fenced(): boolean {
    const { membership } = this.#options;
    return membership.hasPeers() &&
      membership.lastAckAgeMs > CONTACT_TIMEOUT_MS;
  }

  /** After a gap in contact others may have admitted in this node's place. */
  settleAfterGap(): void {
    const { membership, clock } = this.#options;
    if (membership.contactLossCount !== this.#contactGaps) {
      this.#contactGaps = membership.contactLossCount;
      const nowMs = clock.monotonicMs();
      this.#owned.forEach((owned) => owned.unsettle(nowMs));
    }
  }

  /** Takes the endpoints that are now this node's, hands over the others. */
  #reassign(): void {
    const { membership, owners, directory } = this.#options;
    if (this.#closed || !this.#started) {
      return;
    }
    this.settleAfterGap();
    const { region } = membership.self;
    const local = directory.all().filter((info) => info.region === region);
    const present = new Set(local.map((info) => info.id));
    for (const owned of [...this.#owned.values()]) {
      const { id } = owned.info;
      const { owner } = owners.lookupOwners(region, id);
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
  }

  /** What dead entry nodes had open lapses soon. */
  #forgetDead(): void {
    const { membership, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { id, state } of membership.nodes()) {
      if (state === "dead") {
        this.#owned.forEach(({ ledger }) => ledger.entryDied(id, nowMs));
      }
    }
  }

  #take(info: EndpointInfo): void {
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
      onProbed: () => this.#owned.get(info.id)?.ledger.wake(),
    });
    const owned = new OwnedEndpoint({
      info: { ...info },
      monitor,
      settleUntilMs: clock.monotonicMs() + SETTLE_MS,
    });
    if (this.#isAlone()) {
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
  #isAlone(): boolean {
    const { id, region } = this.#options.membership.self;
    return this.#options.membership.nodes().every((view) =>
      view.id === id || view.region !== region
    );
  }

  #drop(owned: OwnedEndpoint): void {
    this.#owned.delete(owned.info.id);
    owned.ledger.wake();
    void owned.monitor.close();
  }

  async #handOver(
    owned: OwnedEndpoint,
    to: string | undefined,
  ): Promise<void> {
    const { membership, transport, logger, clock } = this.#options;
    const target = to === undefined ? undefined : membership.node(to);
    if (target === undefined || target.id === membership.self.id) {
      return;
    }
    const message = create(peerpb.HandoverRequestSchema, {
      endpointId: owned.info.id,
      fromNodeId: membership.self.id,
      settled: !owned.isSettling(clock.monotonicMs()),
      open: owned.ledger.all().map(({ id, fingerprint, entryNodeId }) => ({
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
      logger.debug({ err, endpoint: owned.info.id }, "handover not answered");
    }
  }

  /** The former owner admits nothing more and has told all it knows. */
  #onHandover(req: peerpb.HandoverRequest): peerpb.HandoverResponse {
    const owned = this.#owned.get(req.endpointId);
    if (owned === undefined) {
      this.#rememberHandover(req);
    } else if (!this.fenced()) {
      this.announce(req.open);
      if (req.settled && this.#isFormerOwner(req)) {
        owned.settle();
        owned.ledger.wake();
      }
    }
    return create(peerpb.HandoverResponseSchema);
  }

  /** Whether the sender is who would own the endpoint without this node. */
  #isFormerOwner({ endpointId, fromNodeId }: peerpb.HandoverRequest): boolean {
    const { membership, owners } = this.#options;
    const { id, region } = membership.self;
    const others = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    const candidates = new Set([...others, fromNodeId]);
    return rendezvousRank(endpointId, [...candidates])[0] === fromNodeId;
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
}
