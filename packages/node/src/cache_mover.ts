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

/** Chats moved from one leaving endpoint by one node. */
const MAX_CHATS = 256;
const CHATS_PER_MOVE = 16;
const PAUSE_MS = 100;
const MOVE_TIMEOUT_MS = 2_000;

/**
 * When an endpoint leaves, copies the context of the chats that this node's
 * directory knows there to the endpoints where they will run next.
 */
export class CacheMover {
  readonly #options: CacheMoverOptions;
  readonly #done = new Set<string>();
  readonly #stop = new AbortController();

  constructor(options: CacheMoverOptions) {
    this.#options = options;
    options.directory.onChange(() => this.#check());
  }

  /** Stops moving. */
  close(): void {
    this.#stop.abort();
  }

  #check(): void {
    const { directory, membership } = this.#options;
    const all = directory.all();
    const present = new Set(all.map((info) => info.id));
    for (const id of this.#done) {
      if (!present.has(id)) {
        this.#done.delete(id);
      }
    }
    for (const info of all) {
      const due = info.state === "leaving" && !this.#done.has(info.id) &&
        info.region === membership.self.region;
      if (due) {
        this.#done.add(info.id);
        void this.#moveFrom({ ...info });
      }
    }
  }

  async #moveFrom(from: EndpointInfo): Promise<void> {
    const { chats, clock, logger } = this.#options;
    const byTarget = new Map<string, { to: EndpointInfo; keys: bigint[] }>();
    for (const chatKey of chats.chatsAt(from.id).slice(0, MAX_CHATS)) {
      const to = this.#nextPlace(from, chatKey);
      if (to !== undefined) {
        const entry = byTarget.get(to.id) ?? { to, keys: [] };
        entry.keys.push(chatKey);
        byTarget.set(to.id, entry);
      }
    }
    for (const { to, keys } of byTarget.values()) {
      for (let at = 0; at < keys.length; at += CHATS_PER_MOVE) {
        if (this.#stop.signal.aborted) {
          return;
        }
        try {
          await this.#moveSome(from, to, keys.slice(at, at + CHATS_PER_MOVE));
        } catch (err) {
          logger.warn({ err, from: from.id, to: to.id }, "cache not moved");
          return;
        }
        await sleep(clock, PAUSE_MS, { signal: this.#stop.signal });
      }
    }
  }

  async #moveSome(
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

  #nextPlace(from: EndpointInfo, chatKey: bigint): EndpointInfo | undefined {
    const { directory, config } = this.#options;
    const open = directory.live(from.service).filter((info) =>
      info.id !== from.id && info.region === from.region &&
      config().zoneIn(info.availabilityZone)
    );
    const [first] = rendezvousRank(
      chatKey.toString(36),
      open.map((info) => info.id),
    );
    return open.find((info) => info.id === first);
  }
}
