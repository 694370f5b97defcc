import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import type { CrashTracker } from "@limpetshed/admission";
import type { Clock } from "@limpetshed/base";
import { rendezvousFirst } from "@limpetshed/hashing";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";

/** What the directory knows of a chat and of a request. */
export interface ChatKnowledge {
  /** Endpoint where the chat last ran; undefined when not known. */
  lastEndpointId: string | undefined;
  /** Endpoints lost while running this very request. */
  losses: number;
  /** The request is refused everywhere for a time. */
  quarantined: boolean;
}

/** Options of {@linkcode ChatDirectory}. */
export interface ChatDirectoryOptions {
  clock: Clock;
  logger: Logger;
  membership: Membership;
  owners: OwnerMap;
  transport: PeerTransport;
  handlers: PeerHandlers;
  crashes: CrashTracker;
  /** Most chats remembered by this node. */
  maxEntries?: number;
}

const CALL_TIMEOUT_MS = 300;
const FLUSH_DELAY_MS = 200;
const LOCATIONS_PER_MESSAGE = 1_000;
const NOTHING: ChatKnowledge = {
  lastEndpointId: undefined,
  losses: 0,
  quarantined: false,
};

/**
 * Where each chat last ran. Every chat has one directory node, by rendezvous
 * over the region's nodes; the records are soft and move with the nodes.
 */
export class ChatDirectory {
  readonly #options: Required<ChatDirectoryOptions>;
  readonly #records: LRUCache<bigint, string>;
  readonly #pending = new Map<string, Map<bigint, string>>();
  #eligible: readonly string[] = [];

  constructor(options: ChatDirectoryOptions) {
    this.#options = { maxEntries: 20_000, ...options };
    this.#records = new LRUCache({ max: this.#options.maxEntries });
    const { handlers, membership } = this.#options;
    handlers.on("lookupRequest", (req) => this.#onLookup(req));
    handlers.on("locationsRequest", (req) => this.#onLocations(req));
    handlers.on("lossReport", (req) => this.#onLossReport(req));
    membership.onChange(() => this.#moveToNewNodes());
  }

  /** Number of chats remembered here. */
  get size(): number {
    return this.#records.size;
  }

  /** Chats remembered here as last run at an endpoint, latest first. */
  chatsAt(endpointId: string): bigint[] {
    return [...this.#records.entries()]
      .filter(([, id]) => id === endpointId)
      .map(([chatKey]) => chatKey);
  }

  /** Asks the chat's directory node; an unanswered question knows nothing. */
  async lookup(chatKey: bigint, fingerprint: bigint): Promise<ChatKnowledge> {
    const message = create(peerpb.LookupRequestSchema, {
      chatKey,
      fingerprint,
    });
    const home = this.#home(chatKey);
    const { membership, transport } = this.#options;
    if (home === undefined || home === membership.self.id) {
      return toKnowledge(this.#onLookup(message));
    }
    try {
      const res = await transport.call(this.#address(home), "lookupRequest", {
        message,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return toKnowledge(res);
    } catch {
      membership.reportUnreachable(home);
      return NOTHING;
    }
  }

  /** Records where a chat ran; told to its directory node in batches. */
  record(chatKey: bigint, endpointId: string): void {
    const home = this.#home(chatKey);
    if (home === undefined || home === this.#options.membership.self.id) {
      this.#records.set(chatKey, endpointId);
      return;
    }
    const pending = this.#pending.get(home);
    if (pending !== undefined) {
      pending.set(chatKey, endpointId);
      return;
    }
    this.#pending.set(home, new Map([[chatKey, endpointId]]));
    this.#options.clock.setTimer(FLUSH_DELAY_MS, () => void this.#flush(home));
  }

  /** Tells the chat's directory node what became of a suspected request. */
  async reportLoss(
    chatKey: bigint,
    { fingerprint, endpointId, completed }: {
      fingerprint: bigint;
      endpointId: string;
      completed: boolean;
    },
  ): Promise<void> {
    const message = create(peerpb.LossReportSchema, {
      fingerprint,
      endpointId,
      completed,
    });
    const home = this.#home(chatKey);
    if (home === undefined || home === this.#options.membership.self.id) {
      this.#onLossReport(message);
      return;
    }
    try {
      await this.#options.transport.call(this.#address(home), "lossReport", {
        message,
        timeoutMs: CALL_TIMEOUT_MS,
      });
    } catch (err) {
      this.#options.logger.warn({ err }, "loss report not answered");
      this.#onLossReport(message);
    }
  }

  /** Sends all records to their next directory nodes; on a planned stop. */
  async handOverAll(): Promise<void> {
    const { owners, membership } = this.#options;
    const { id, region } = membership.self;
    const others = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    const moves = new Map<string, [bigint, string][]>();
    for (const [chatKey, endpointId] of this.#records.entries()) {
      const next = rendezvousFirst(homeKey(chatKey), others);
      if (next !== undefined) {
        addTo(moves, next, [chatKey, endpointId]);
      }
    }
    await this.#sendMoves(moves);
  }

  #home(chatKey: bigint): string | undefined {
    const { owners, membership } = this.#options;
    return owners.lookupOwnerUncached(membership.self.region, homeKey(chatKey));
  }

  #address(nodeId: string): string {
    return this.#options.membership.node(nodeId)?.address ?? "";
  }

  #onLookup(req: peerpb.LookupRequest): peerpb.LookupResponse {
    const { crashes } = this.#options;
    return create(peerpb.LookupResponseSchema, {
      endpointId: this.#records.get(req.chatKey) ?? "",
      losses: crashes.lossCount(req.fingerprint),
      quarantined: crashes.isQuarantined(req.fingerprint),
    });
  }

  #onLocations(req: peerpb.LocationsRequest): peerpb.LocationsResponse {
    for (const { chatKey, endpointId } of req.locations) {
      this.#records.set(chatKey, endpointId);
    }
    return create(peerpb.LocationsResponseSchema);
  }

  #onLossReport(req: peerpb.LossReport): peerpb.LossReportResponse {
    const { crashes } = this.#options;
    if (req.completed) {
      crashes.completed(req.fingerprint);
    } else {
      crashes.lost(req.fingerprint, req.endpointId);
    }
    return create(peerpb.LossReportResponseSchema);
  }

  async #flush(home: string): Promise<void> {
    const pending = this.#pending.get(home);
    this.#pending.delete(home);
    if (pending !== undefined) {
      await this.#send(home, [...pending]);
    }
  }

  /** A node that came takes over the chats for which it ranks first. */
  #moveToNewNodes(): void {
    const { owners, membership } = this.#options;
    const { id, region } = membership.self;
    const eligible = owners.eligibleNodeIds(region);
    const known = new Set(this.#eligible);
    const added = eligible.filter((other) => !known.has(other) && other !== id);
    this.#eligible = eligible;
    if (added.length === 0 || this.#records.size === 0) {
      return;
    }
    const moves = new Map<string, [bigint, string][]>();
    for (const [chatKey, endpointId] of this.#records.entries()) {
      const first = rendezvousFirst(homeKey(chatKey), [id, ...added]);
      if (first !== undefined && first !== id) {
        addTo(moves, first, [chatKey, endpointId]);
      }
    }
    void this.#sendMoves(moves);
  }

  async #sendMoves(
    moves: ReadonlyMap<string, readonly [bigint, string][]>,
  ): Promise<void> {
    await Promise.all(
      [...moves].map(([nodeId, records]) => this.#send(nodeId, records)),
    );
  }

  async #send(
    nodeId: string,
    records: readonly [bigint, string][],
  ): Promise<void> {
    for (let at = 0; at < records.length; at += LOCATIONS_PER_MESSAGE) {
      const part = records.slice(at, at + LOCATIONS_PER_MESSAGE);
      const message = create(peerpb.LocationsRequestSchema, {
        locations: part.map(([chatKey, endpointId]) => ({
          chatKey,
          endpointId,
        })),
      });
      try {
        await this.#options.transport.call(
          this.#address(nodeId),
          "locationsRequest",
          { message, timeoutMs: 10 * CALL_TIMEOUT_MS },
        );
      } catch (err) {
        this.#options.logger.debug({ err, peer: nodeId }, "records not moved");
        return;
      }
    }
  }
}

function homeKey(chatKey: bigint): string {
  return `chat\u0000${chatKey.toString(36)}`;
}

function toKnowledge(res: peerpb.LookupResponse): ChatKnowledge {
  return {
    lastEndpointId: res.endpointId === "" ? undefined : res.endpointId,
    losses: res.losses,
    quarantined: res.quarantined,
  };
}

function addTo<K, V>(map: Map<K, V[]>, key: K, value: V): void {
  const list = map.get(key);
  if (list === undefined) {
    map.set(key, [value]);
  } else {
    list.push(value);
  }
}
