import { type Clock, sleep } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import type { EndpointClient } from "@limpetshed/endpoint";
import { rendezvousRank } from "@limpetshed/hashing";
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
} from "@limpetshed/membership";
import type { Logger } from "@limpetshed/observe";
import type { ChatDirectory } from "@limpetshed/placement";

/** Options of {@linkcode CacheMover}. */
export interface CacheMoverOptions {
  clock: Clock;
  logger: Logger;
  membership: Membership;
  directory: EndpointDirectory;
  config: () => ConfigSnapshot;
  client: EndpointClient;
  chats: ChatDirectory;
}

/** Limit for each leaving endpoint on each node. */
const MAX_CHATS_PER_ENDPOINT = 256;
const CHATS_PER_BATCH = 16;
const BATCH_PAUSE_MS = 100;
const MOVE_TIMEOUT_MS = 2_000;

/**
 * When an endpoint is leaving, copies the cached context of its chats in this
 * node's directory to the endpoints to which they will be routed next.
 */
export class CacheMover {
  readonly #options: CacheMoverOptions;
  readonly #startedIds = new Set<string>();
  readonly #stop = new AbortController();

  constructor(options: CacheMoverOptions) {
    this.#options = options;
    options.directory.onChange(() => this.#onDirectoryChange());
  }

  /** Stops moving caches. */
  close(): void {
    this.#stop.abort();
  }

  #onDirectoryChange(): void {
    const { directory, membership } = this.#options;
    const all = directory.all();
    const present = new Set(all.map((info) => info.id));
    for (const id of this.#startedIds) {
      if (!present.has(id)) {
        this.#startedIds.delete(id);
      }
    }
    for (const info of all) {
      const shouldMove = info.state === "leaving" &&
        !this.#startedIds.has(info.id) &&
        info.region === membership.self.region;
      if (shouldMove) {
        this.#startedIds.add(info.id);
        void this.#moveFrom({ ...info });
      }
    }
  }

  async #moveFrom(from: EndpointInfo): Promise<void> {
    const { chats, clock, logger } = this.#options;
    const byTarget = new Map<string, { to: EndpointInfo; keys: bigint[] }>();
    for (
      const chatKey of chats.chatsAt(from.id).slice(0, MAX_CHATS_PER_ENDPOINT)
    ) {
      const to = this.#targetFor(from, chatKey);
      if (to !== undefined) {
        const entry = byTarget.get(to.id) ?? { to, keys: [] };
        entry.keys.push(chatKey);
        byTarget.set(to.id, entry);
      }
    }
    for (const { to, keys } of byTarget.values()) {
      for (let start = 0; start < keys.length; start += CHATS_PER_BATCH) {
        if (this.#stop.signal.aborted) {
          return;
        }
        try {
          await this.#moveBatch(
            from,
            to,
            keys.slice(start, start + CHATS_PER_BATCH),
          );
        } catch (err) {
          logger.warn(
            { err, from: from.id, to: to.id },
            "failed to move cached chats",
          );
          return;
        }
        await sleep(clock, BATCH_PAUSE_MS, { signal: this.#stop.signal });
      }
    }
  }

  async #moveBatch(
    from: EndpointInfo,
    to: EndpointInfo,
    keys: readonly bigint[],
  ): Promise<void> {
    const { client, chats } = this.#options;
    await client.copyCache({
      from,
      to,
      chatKeys: keys.map((key) => key.toString(16)),
      timeoutMs: MOVE_TIMEOUT_MS,
    });
    for (const key of keys) {
      chats.record(key, to.id);
    }
  }

  #targetFor(from: EndpointInfo, chatKey: bigint): EndpointInfo | undefined {
    const { directory, config } = this.#options;
    const eligible = directory.live(from.service).filter((info) =>
      info.id !== from.id && info.region === from.region &&
      config().isZoneIn(info.availabilityZone)
    );
    const [first] = rendezvousRank(
      chatKey.toString(36),
      eligible.map((info) => info.id),
    );
    return eligible.find((info) => info.id === first);
  }
}
