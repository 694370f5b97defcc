import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type Repeating } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import type { Rng } from "@limpetshed/hashing";
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
  OwnerMap,
} from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import { peerpb, type PeerTransport } from "@limpetshed/peer";
import type { EndpointOwner } from "./endpoint_owner.ts";

const { AdmitResult, WorkOutcome } = peerpb;

/** Options of {@linkcode AdmissionClient}. */
export interface AdmissionClientOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  directory: EndpointDirectory;
  transport: PeerTransport;
  /** The owner role of this node, asked without a message. */
  local: EndpointOwner;
  config: () => ConfigSnapshot;
  /** Called with the version that each answer carries. */
  onVersion?: (address: string, version: number) => void;
  /** Longest wait for an owner's answer, in milliseconds. */
  timeoutMs?: number;
}

/** What an admission is asked for. */
export interface AdmissionQuery {
  endpoint: EndpointInfo;
  priority: peerpb.Priority;
  fingerprint: bigint;
  /** An endpoint was lost while running this request before. */
  suspect: boolean;
  /** Longest wait at the owner for room, in milliseconds. */
  waitMs: number;
}

/** Answer of the owner, or `unreachable` when none came. */
export interface AdmissionAnswer {
  result: peerpb.AdmitResult | "unreachable";
  admissionId: bigint;
  inFlight: number;
  limit: number;
}

const RENEW_INTERVAL_MS = 10_000;
const RELEASE_DELAY_MS = 50;
const RELEASE_TIMEOUT_MS = 1_000;
const RELEASE_RETRY_MS = 1_000;
const RELEASE_TRIES = 5;
const HALF_ID_RANGE = 0x1_0000_0000;

interface OpenHere {
  endpoint: EndpointInfo;
  fingerprint: bigint;
}

/**
 * Asks endpoint owners for admissions, renews those that are open and tells
 * the owners when they end.
 */
export class AdmissionClient {
  readonly #options: Required<AdmissionClientOptions>;
  readonly #open = new Map<bigint, OpenHere>();
  readonly #releases = new Map<string, peerpb.ReleasedAdmission[]>();
  #renewing: Repeating | undefined;
  #viewNumber = 0;

  constructor(options: AdmissionClientOptions) {
    this.#options = {
      timeoutMs: 500,
      onVersion: () => undefined,
      ...options,
    };
  }

  /** Starts renewing. */
  start(): void {
    const { clock, logger, membership } = this.#options;
    this.#renewing = repeat(clock, () => this.#renewAll(), {
      everyMs: RENEW_INTERVAL_MS,
      onError: (err) => logger.error({ err }, "renewal failed"),
    });
    membership.onChange(() => this.#onViewChange());
  }

  /** Asks for admission to one endpoint. */
  async ask(query: AdmissionQuery): Promise<AdmissionAnswer> {
    const { owners, membership, config, rng, clock, timeoutMs } = this.#options;
    const { endpoint, priority, fingerprint, suspect, waitMs } = query;
    const { owner } = owners.lookupOwners(endpoint.region, endpoint.id);
    const admissionId = (BigInt(rng.int(HALF_ID_RANGE)) << 32n) |
      BigInt(rng.int(HALF_ID_RANGE));
    const message = create(peerpb.AdmitRequestSchema, {
      endpointId: endpoint.id,
      priority,
      fingerprint,
      suspect,
      entryNodeId: membership.self.id,
      waitMs,
      admissionId,
      configVersion: BigInt(config().version),
    });
    if (owner === undefined) {
      return unanswered(admissionId);
    }
    const askedAtMs = clock.monotonicMs();
    const res = owner === membership.self.id
      ? await this.#options.local.admit(message)
      : await this.#askPeer(owner, message);
    const tookMs = clock.monotonicMs() - askedAtMs;
    // A grant that comes late, as after a pause, may have lapsed already.
    if (res === undefined || tookMs > waitMs + 2 * timeoutMs) {
      this.#release(endpoint, admissionId, WorkOutcome.CANCELLED);
      return unanswered(admissionId);
    }
    if (res.result === AdmitResult.GRANTED) {
      this.#open.set(admissionId, { endpoint, fingerprint });
    }
    const { result, inFlight, limit } = res;
    return { result, admissionId, inFlight, limit };
  }

  /** Ends an admission with the outcome of its work. */
  release(admissionId: bigint, outcome: peerpb.WorkOutcome): void {
    const open = this.#open.get(admissionId);
    if (open !== undefined) {
      this.#open.delete(admissionId);
      this.#release(open.endpoint, admissionId, outcome);
    }
  }

  /** Sends what is still to be told and stops renewing. */
  async close(): Promise<void> {
    await this.#renewing?.close();
    await this.#flushAll();
  }

  async #askPeer(
    owner: string,
    message: peerpb.AdmitRequest,
  ): Promise<peerpb.AdmitResponse | undefined> {
    const { membership, transport, timeoutMs, local } = this.#options;
    const address = membership.node(owner)?.address ?? "";
    message.loadSums = local.sums.ownSum(
      this.#options.directory.get(message.endpointId)?.service ?? "",
    );
    try {
      const res = await transport.call(address, "admitRequest", {
        message,
        timeoutMs: timeoutMs + message.waitMs,
      });
      local.sums.absorbSums(res.loadSums);
      this.#options.onVersion(address, Number(res.configVersion));
      return res;
    } catch {
      membership.reportUnreachable(owner);
      return undefined;
    }
  }

  #release(
    endpoint: EndpointInfo,
    admissionId: bigint,
    outcome: peerpb.WorkOutcome,
  ): void {
    const { owners, clock } = this.#options;
    const { owner } = owners.lookupOwners(endpoint.region, endpoint.id);
    if (owner === undefined) {
      return;
    }
    const released = create(peerpb.ReleasedAdmissionSchema, {
      admissionId,
      endpointId: endpoint.id,
      outcome,
    });
    const pending = this.#releases.get(owner);
    if (pending !== undefined) {
      pending.push(released);
    } else {
      this.#releases.set(owner, [released]);
    }
    if (this.#isUrgent(owner, outcome)) {
      void this.#flush(owner);
    } else if (pending === undefined) {
      clock.setTimer(RELEASE_DELAY_MS, () => void this.#flush(owner));
    }
  }

  #isUrgent(owner: string, outcome: peerpb.WorkOutcome): boolean {
    return owner === this.#options.membership.self.id ||
      outcome === WorkOutcome.CONNECTION_LOST ||
      outcome === WorkOutcome.NOT_SENT;
  }

  async #flush(owner: string): Promise<void> {
    const released = this.#releases.get(owner);
    this.#releases.delete(owner);
    if (released === undefined) {
      return;
    }
    const { membership, local } = this.#options;
    const message = create(peerpb.ReleaseRequestSchema, { released });
    if (owner === membership.self.id) {
      local.release(message);
      return;
    }
    await this.#tell(owner, message, RELEASE_TRIES);
  }

  /** What no try brings across lapses at the owner, not being renewed. */
  async #tell(
    owner: string,
    message: peerpb.ReleaseRequest,
    tries: number,
  ): Promise<void> {
    const { membership, transport, clock } = this.#options;
    const address = membership.node(owner)?.address ?? "";
    try {
      await transport.call(address, "releaseRequest", {
        message,
        timeoutMs: RELEASE_TIMEOUT_MS,
      });
    } catch {
      if (tries > 1) {
        clock.setTimer(
          RELEASE_RETRY_MS,
          () => void this.#tell(owner, message, tries - 1),
        );
      }
    }
  }

  async #flushAll(): Promise<void> {
    await Promise.all(
      [...this.#releases.keys()].map((owner) => this.#flush(owner)),
    );
  }

  #onViewChange(): void {
    const { membership } = this.#options;
    if (this.#viewNumber !== membership.viewVersion) {
      this.#viewNumber = membership.viewVersion;
      if (this.#open.size > 0) {
        void this.#renewAll();
      }
    }
  }

  async #renewAll(): Promise<void> {
    const { owners, membership } = this.#options;
    const byOwner = new Map<string, peerpb.OpenAdmission[]>();
    for (const [admissionId, { endpoint, fingerprint }] of this.#open) {
      const { owner } = owners.lookupOwners(endpoint.region, endpoint.id);
      if (owner === undefined) {
        continue;
      }
      const list = byOwner.get(owner) ?? [];
      list.push(create(peerpb.OpenAdmissionSchema, {
        admissionId,
        endpointId: endpoint.id,
        fingerprint,
        entryNodeId: membership.self.id,
      }));
      byOwner.set(owner, list);
    }
    await Promise.all(
      [...byOwner].map(([owner, open]) => this.#renewAt(owner, open)),
    );
  }

  async #renewAt(
    owner: string,
    open: peerpb.OpenAdmission[],
  ): Promise<void> {
    const { membership, local, transport } = this.#options;
    const message = create(peerpb.RenewRequestSchema, { open });
    if (owner === membership.self.id) {
      local.renew(message);
      return;
    }
    try {
      await transport.call(
        membership.node(owner)?.address ?? "",
        "renewRequest",
        {
          message,
          timeoutMs: RELEASE_TIMEOUT_MS,
        },
      );
    } catch {
      membership.reportUnreachable(owner);
    }
  }
}

function unanswered(admissionId: bigint): AdmissionAnswer {
  return { result: "unreachable", admissionId, inFlight: 0, limit: 0 };
}
