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

/** What a directory node knows about a chat and a request. */
export interface ChatLookupResult {
  /** Endpoint where the chat last ran; undefined if unknown. */
  lastEndpointId: string | undefined;
  /** Number of endpoints lost while running this request. */
  losses: number;
  /** Whether the request is temporarily refused on all nodes. */
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
  crashTracker: CrashTracker;
  /** Maximum number of chats stored on this node. */
  maxEntries?: number;
}

const CALL_TIMEOUT_MS = 300;
const FLUSH_DELAY_MS = 200;
const MAX_LOCATIONS_PER_MESSAGE = 1_000;
const UNKNOWN_CHAT: ChatLookupResult = {
  lastEndpointId: undefined,
  losses: 0,
  quarantined: false,
};

/**
 * Records where each chat last ran. Rendezvous hashing over the region's nodes
 * assigns each chat to one directory node. The records are soft state, kept in
 * memory only, and are transferred when a node joins or shuts down.
 */
export class ChatDirectory {
  readonly #options: Required<ChatDirectoryOptions>;
  readonly #endpointByChat: LRUCache<bigint, string>;
  /** Unsent locations by directory node: endpoint id by chat key. */
  readonly #pendingLocations = new Map<string, Map<bigint, string>>();
  #knownNodes: readonly string[] = [];

  constructor(options: ChatDirectoryOptions) {
    this.#options = { maxEntries: 20_000, ...options };
    this.#endpointByChat = new LRUCache({ max: this.#options.maxEntries });
    const { handlers, membership } = this.#options;
    handlers.on("lookupRequest", (req) => this.#onLookup(req));
    handlers.on("locationsRequest", (req) => this.#onLocations(req));
    handlers.on("lossReport", (req) => this.#onLossReport(req));
    membership.onChange(() => this.#transferToNewNodes());
  }

  /** Number of chats stored on this node. */
  get size(): number {
    return this.#endpointByChat.size;
  }

  /** Chats stored on this node that last ran at an endpoint, latest first. */
  chatsAt(endpointId: string): bigint[] {
    return [...this.#endpointByChat.entries()]
      .filter(([, id]) => id === endpointId)
      .map(([chatKey]) => chatKey);
  }

  /** Queries the chat's directory node; the result is empty if the call fails. */
  async lookup(
    chatKey: bigint,
    fingerprint: bigint,
  ): Promise<ChatLookupResult> {
    const message = create(peerpb.LookupRequestSchema, {
      chatKey,
      fingerprint,
    });
    const directoryNode = this.#directoryNodeOf(chatKey);
    const { membership, transport } = this.#options;
    if (directoryNode === undefined || directoryNode === membership.self.id) {
      return toLookupResult(this.#onLookup(message));
    }
    try {
      const res = await transport.call(
        this.#addressOf(directoryNode),
        "lookupRequest",
        {
          message,
          timeoutMs: CALL_TIMEOUT_MS,
        },
      );
      return toLookupResult(res);
    } catch {
      membership.reportUnreachable(directoryNode);
      return UNKNOWN_CHAT;
    }
  }

  /** Records where a chat ran; records for other nodes are sent in batches. */
  record(chatKey: bigint, endpointId: string): void {
    const directoryNode = this.#directoryNodeOf(chatKey);
    if (
      directoryNode === undefined ||
      directoryNode === this.#options.membership.self.id
    ) {
      this.#endpointByChat.set(chatKey, endpointId);
      return;
    }
    const pending = this.#pendingLocations.get(directoryNode);
    if (pending !== undefined) {
      pending.set(chatKey, endpointId);
      return;
    }
    this.#pendingLocations.set(directoryNode, new Map([[chatKey, endpointId]]));
    this.#options.clock.setTimer(
      FLUSH_DELAY_MS,
      () => void this.#flush(directoryNode),
    );
  }

  /**
   * Reports to the chat's directory node that a request lost its endpoint or,
   * after an earlier loss, completed.
   */
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
    const directoryNode = this.#directoryNodeOf(chatKey);
    if (
      directoryNode === undefined ||
      directoryNode === this.#options.membership.self.id
    ) {
      this.#onLossReport(message);
      return;
    }
    try {
      await this.#options.transport.call(
        this.#addressOf(directoryNode),
        "lossReport",
        {
          message,
          timeoutMs: CALL_TIMEOUT_MS,
        },
      );
    } catch (err) {
      this.#options.logger.warn(
        { err },
        "loss report failed, recorded on this node instead",
      );
      this.#onLossReport(message);
    }
  }

  /** Transfers each record to the node that takes it over after shutdown. */
  async transferAll(): Promise<void> {
    const { owners, membership } = this.#options;
    const { id, region } = membership.self;
    const others = owners.eligibleNodeIds(region).filter((other) =>
      other !== id
    );
    const transfers = new Map<string, [bigint, string][]>();
    for (const [chatKey, endpointId] of this.#endpointByChat.entries()) {
      const next = rendezvousFirst(rendezvousKey(chatKey), others);
      if (next !== undefined) {
        appendTo(transfers, next, [chatKey, endpointId]);
      }
    }
    await this.#sendTransfers(transfers);
  }

  #directoryNodeOf(chatKey: bigint): string | undefined {
    const { owners, membership } = this.#options;
    return owners.lookupOwnerUncached(
      membership.self.region,
      rendezvousKey(chatKey),
    );
  }

  #addressOf(nodeId: string): string {
    return this.#options.membership.node(nodeId)?.address ?? "";
  }

  #onLookup(req: peerpb.LookupRequest): peerpb.LookupResponse {
    const { crashTracker } = this.#options;
    return create(peerpb.LookupResponseSchema, {
      endpointId: this.#endpointByChat.get(req.chatKey) ?? "",
      losses: crashTracker.lossCount(req.fingerprint),
      quarantined: crashTracker.isQuarantined(req.fingerprint),
    });
  }

  #onLocations(req: peerpb.LocationsRequest): peerpb.LocationsResponse {
    for (const { chatKey, endpointId } of req.locations) {
      this.#endpointByChat.set(chatKey, endpointId);
    }
    return create(peerpb.LocationsResponseSchema);
  }

  #onLossReport(req: peerpb.LossReport): peerpb.LossReportResponse {
    const { crashTracker } = this.#options;
    if (req.completed) {
      crashTracker.clearLosses(req.fingerprint);
    } else {
      crashTracker.recordLoss(req.fingerprint, req.endpointId);
    }
    return create(peerpb.LossReportResponseSchema);
  }

  async #flush(directoryNode: string): Promise<void> {
    const pending = this.#pendingLocations.get(directoryNode);
    this.#pendingLocations.delete(directoryNode);
    if (pending !== undefined) {
      await this.#sendLocations(directoryNode, [...pending]);
    }
  }

  /** Transfers the chats for which a newly added node now ranks first. */
  #transferToNewNodes(): void {
    const { owners, membership } = this.#options;
    const { id, region } = membership.self;
    const eligible = owners.eligibleNodeIds(region);
    const known = new Set(this.#knownNodes);
    const added = eligible.filter((other) => !known.has(other) && other !== id);
    this.#knownNodes = eligible;
    if (added.length === 0 || this.#endpointByChat.size === 0) {
      return;
    }
    const transfers = new Map<string, [bigint, string][]>();
    for (const [chatKey, endpointId] of this.#endpointByChat.entries()) {
      const first = rendezvousFirst(rendezvousKey(chatKey), [id, ...added]);
      if (first !== undefined && first !== id) {
        appendTo(transfers, first, [chatKey, endpointId]);
      }
    }
    void this.#sendTransfers(transfers);
  }

  async #sendTransfers(
    transfers: ReadonlyMap<string, readonly [bigint, string][]>,
  ): Promise<void> {
    await Promise.all(
      [...transfers].map(([nodeId, records]) =>
        this.#sendLocations(nodeId, records)
      ),
    );
  }

  async #sendLocations(
    nodeId: string,
    records: readonly [bigint, string][],
  ): Promise<void> {
    for (
      let offset = 0;
      offset < records.length;
      offset += MAX_LOCATIONS_PER_MESSAGE
    ) {
      const batch = records.slice(offset, offset + MAX_LOCATIONS_PER_MESSAGE);
      const message = create(peerpb.LocationsRequestSchema, {
        locations: batch.map(([chatKey, endpointId]) => ({
          chatKey,
          endpointId,
        })),
      });
      try {
        await this.#options.transport.call(
          this.#addressOf(nodeId),
          "locationsRequest",
          { message, timeoutMs: 10 * CALL_TIMEOUT_MS },
        );
      } catch (err) {
        this.#options.logger.debug(
          { err, peer: nodeId },
          "failed to send chat locations",
        );
        return;
      }
    }
  }
}

function rendezvousKey(chatKey: bigint): string {
  return `chat\u0000${chatKey.toString(36)}`;
}

function toLookupResult(res: peerpb.LookupResponse): ChatLookupResult {
  return {
    lastEndpointId: res.endpointId === "" ? undefined : res.endpointId,
    losses: res.losses,
    quarantined: res.quarantined,
  };
}

function appendTo<K, V>(map: Map<K, V[]>, key: K, value: V): void {
  const list = map.get(key);
  if (list === undefined) {
    map.set(key, [value]);
  } else {
    list.push(value);
  }
}
