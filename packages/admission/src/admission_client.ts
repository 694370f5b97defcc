import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
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
  /** Handles requests for endpoints owned by this node, without a peer call. */
  localOwner: EndpointOwner;
  config: () => ConfigSnapshot;
  /** Called with a peer's address and the config version in its response. */
  onConfigVersion?: (address: string, version: number) => void;
  /** Timeout for an owner's response in milliseconds; `waitMs` is added. */
  timeoutMs?: number;
}

/** A request for admission to one endpoint. */
export interface AdmissionRequest {
  endpoint: EndpointInfo;
  priority: peerpb.Priority;
  /** Hash of the request; the same when it is retried on another endpoint. */
  fingerprint: bigint;
  /** An endpoint went down earlier while running this request. */
  suspect: boolean;
  /** Maximum wait at the owner for capacity, in milliseconds. */
  waitMs: number;
}

/** Response of the owner; `unreachable` if none arrived in time. */
export interface AdmissionResponse {
  result: peerpb.AdmitResult | "unreachable";
  admissionId: bigint;
  /** Requests in flight on the endpoint. */
  inFlight: number;
  /** Limit of the endpoint at the time of the response. */
  limit: number;
}

const RENEW_INTERVAL_MS = 10_000;
/** Delay of non-urgent releases, so that several share a message. */
const RELEASE_DELAY_MS = 50;
const OWNER_CALL_TIMEOUT_MS = 1_000;
const RELEASE_RETRY_MS = 1_000;
const MAX_RELEASE_ATTEMPTS = 5;
const UINT32_RANGE = 0x1_0000_0000;

/** A granted admission that has not been released. */
interface HeldAdmission {
  endpoint: EndpointInfo;
  fingerprint: bigint;
}

/**
 * Requests admissions from endpoint owners, renews open ones and releases
 * them when their requests end.
 */
export class AdmissionClient {
  readonly #options: Required<AdmissionClientOptions>;
  /** By admission id. */
  readonly #openAdmissions = new Map<bigint, HeldAdmission>();
  /** By the owner's node id. */
  readonly #pendingReleases = new Map<string, peerpb.ReleasedAdmission[]>();
  #renewalLoop: RepeatingTask | undefined;
  #handledViewVersion = 0;

  constructor(options: AdmissionClientOptions) {
    this.#options = {
      timeoutMs: 500,
      onConfigVersion: () => undefined,
      ...options,
    };
  }

  /** Starts renewing open admissions. */
  start(): void {
    const { clock, logger, membership } = this.#options;
    this.#renewalLoop = repeat(clock, () => this.#renewAll(), {
      intervalMs: RENEW_INTERVAL_MS,
      onError: (err) => logger.error({ err }, "failed to renew admissions"),
    });
    membership.onChange(() => this.#onViewChange());
  }

  /** Requests admission to an endpoint from its owner. */
  async request(req: AdmissionRequest): Promise<AdmissionResponse> {
    const { owners, membership, config, rng, clock, timeoutMs } = this.#options;
    const { endpoint, priority, fingerprint, suspect, waitMs } = req;
    const { owner } = owners.lookupOwners(endpoint.region, endpoint.id);
    const admissionId = (BigInt(rng.int(UINT32_RANGE)) << 32n) |
      BigInt(rng.int(UINT32_RANGE));
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
      return unreachableResponse(admissionId);
    }
    const sentAtMs = clock.monotonicMs();
    const res = owner === membership.self.id
      ? await this.#options.localOwner.admit(message)
      : await this.#requestFromPeer(owner, message);
    const tookMs = clock.monotonicMs() - sentAtMs;
    // Without a response, the owner may still have granted the admission. A
    // late grant may have expired already, for example if the process paused.
    if (res === undefined || tookMs > waitMs + 2 * timeoutMs) {
      this.#queueRelease(endpoint, admissionId, WorkOutcome.CANCELLED);
      return unreachableResponse(admissionId);
    }
    if (res.result === AdmitResult.GRANTED) {
      this.#openAdmissions.set(admissionId, { endpoint, fingerprint });
    }
    const { result, inFlight, limit } = res;
    return { result, admissionId, inFlight, limit };
  }

  /** Releases an admission with the outcome of its request. */
  release(admissionId: bigint, outcome: peerpb.WorkOutcome): void {
    const held = this.#openAdmissions.get(admissionId);
    if (held !== undefined) {
      this.#openAdmissions.delete(admissionId);
      this.#queueRelease(held.endpoint, admissionId, outcome);
    }
  }

  /** Stops renewing and sends pending releases. */
  async close(): Promise<void> {
    await this.#renewalLoop?.close();
    await this.#flushAllReleases();
  }

  async #requestFromPeer(
    owner: string,
    message: peerpb.AdmitRequest,
  ): Promise<peerpb.AdmitResponse | undefined> {
    const { membership, transport, timeoutMs, localOwner } = this.#options;
    const address = membership.node(owner)?.address ?? "";
    message.loadSums = localOwner.loadSums.ownSum(
      this.#options.directory.get(message.endpointId)?.service ?? "",
    );
    try {
      const res = await transport.call(address, "admitRequest", {
        message,
        timeoutMs: timeoutMs + message.waitMs,
      });
      localOwner.loadSums.mergeSums(res.loadSums);
      this.#options.onConfigVersion(address, Number(res.configVersion));
      return res;
    } catch {
      membership.reportUnreachable(owner);
      return undefined;
    }
  }

  #queueRelease(
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
    const pending = this.#pendingReleases.get(owner);
    if (pending !== undefined) {
      pending.push(released);
    } else {
      this.#pendingReleases.set(owner, [released]);
    }
    if (this.#isUrgent(owner, outcome)) {
      void this.#flushReleases(owner);
    } else if (pending === undefined) {
      clock.setTimer(RELEASE_DELAY_MS, () => void this.#flushReleases(owner));
    }
  }

  /**
   * Whether to release without delay: no message is needed, or the owner is to
   * probe the endpoint because a connection to it failed.
   */
  #isUrgent(owner: string, outcome: peerpb.WorkOutcome): boolean {
    return owner === this.#options.membership.self.id ||
      outcome === WorkOutcome.CONNECTION_LOST ||
      outcome === WorkOutcome.NOT_SENT;
  }

  async #flushReleases(owner: string): Promise<void> {
    const released = this.#pendingReleases.get(owner);
    this.#pendingReleases.delete(owner);
    if (released === undefined) {
      return;
    }
    const { membership, localOwner } = this.#options;
    const message = create(peerpb.ReleaseRequestSchema, { released });
    if (owner === membership.self.id) {
      localOwner.release(message);
      return;
    }
    await this.#sendReleases(owner, message, MAX_RELEASE_ATTEMPTS);
  }

  /** If all attempts fail, the owner lets the unrenewed admissions expire. */
  async #sendReleases(
    owner: string,
    message: peerpb.ReleaseRequest,
    attemptsLeft: number,
  ): Promise<void> {
    const { membership, transport, clock } = this.#options;
    const address = membership.node(owner)?.address ?? "";
    try {
      await transport.call(address, "releaseRequest", {
        message,
        timeoutMs: OWNER_CALL_TIMEOUT_MS,
      });
    } catch {
      if (attemptsLeft > 1) {
        clock.setTimer(
          RELEASE_RETRY_MS,
          () => void this.#sendReleases(owner, message, attemptsLeft - 1),
        );
      }
    }
  }

  async #flushAllReleases(): Promise<void> {
    await Promise.all(
      [...this.#pendingReleases.keys()].map((owner) =>
        this.#flushReleases(owner)
      ),
    );
  }

  /** Renews all admissions, so that new owners learn of them. */
  #onViewChange(): void {
    const { membership } = this.#options;
    if (this.#handledViewVersion !== membership.viewVersion) {
      this.#handledViewVersion = membership.viewVersion;
      if (this.#openAdmissions.size > 0) {
        void this.#renewAll();
      }
    }
  }

  async #renewAll(): Promise<void> {
    const { owners, membership } = this.#options;
    const byOwner = new Map<string, peerpb.OpenAdmission[]>();
    for (
      const [admissionId, { endpoint, fingerprint }] of this.#openAdmissions
    ) {
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
      [...byOwner].map(([owner, open]) => this.#renewWith(owner, open)),
    );
  }

  async #renewWith(
    owner: string,
    open: peerpb.OpenAdmission[],
  ): Promise<void> {
    const { membership, localOwner, transport } = this.#options;
    const message = create(peerpb.RenewRequestSchema, { open });
    if (owner === membership.self.id) {
      localOwner.renew(message);
      return;
    }
    try {
      await transport.call(
        membership.node(owner)?.address ?? "",
        "renewRequest",
        {
          message,
          timeoutMs: OWNER_CALL_TIMEOUT_MS,
        },
      );
    } catch {
      membership.reportUnreachable(owner);
    }
  }
}

function unreachableResponse(admissionId: bigint): AdmissionResponse {
  return { result: "unreachable", admissionId, inFlight: 0, limit: 0 };
}
