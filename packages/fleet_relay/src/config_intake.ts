import { type Clock, errorText, withTimeout } from "@limpetshed/base";
import { CONFIG_PATH, PeerClient, type PeerDirectory } from "@limpetshed/fleet";
import type { Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { CurrentConfig, RoutingConfig } from "@limpetshed/routing";

/** What became of a configuration from shared state. */
export type ConfigOutcome =
  | "in_force"
  /** A newer one is known. */
  | "older"
  /** It waits until other nodes were asked for a newer one. */
  | "held";

/** Options of {@linkcode ConfigIntake}. */
export interface ConfigIntakeOptions {
  clock: Clock;
  logger: Logger;
  rng: Rng;
  config: CurrentConfig;
  directory: PeerDirectory;
  /** Address at which this node serves other nodes, `ip:port`. */
  ownAddress: string;
  /** Addresses of a few nodes; may be stale. */
  seeds: readonly string[];
  /** Whether the whole fleet starts for the first time, so that no node has a
   * configuration. */
  isFirstStart: boolean;
  /** Throws if the text is not a configuration as it is stored. */
  decode: (text: string) => RoutingConfig;
}

/** Nodes that are asked for a newer configuration. */
const MAX_PEERS_ASKED = 3;
/** Time after which a node that does not answer has none, milliseconds; many times
 * the usual response time. */
const PEER_TIMEOUT_MS = 300;

interface KnownConfig {
  config: RoutingConfig;
  text: string;
}

/**
 * Puts configurations in force. The store may have come back from a copy with an
 * older one than the fleet has in force, so a node that starts holds the first one
 * until it has asked other nodes, and asks again when a later era begins.
 */
export class ConfigIntake {
  readonly #options: ConfigIntakeOptions;
  readonly #abortController = new AbortController();
  #newest: KnownConfig | undefined;
  #isHolding: boolean;
  #isAsking = false;

  constructor(options: ConfigIntakeOptions) {
    this.#options = options;
    this.#isHolding = !options.isFirstStart;
  }

  /** The newest configuration that this node knows, as it is stored, if it is newer
   * than a version. */
  newerThan(version: number): { text: string } | undefined {
    return this.#newest !== undefined && this.#newest.config.version > version
      ? { text: this.#newest.text }
      : undefined;
  }

  /** Takes a configuration from shared state. */
  offer(config: RoutingConfig, text: string): ConfigOutcome {
    this.#remember({ config, text });
    if (this.#isHolding) {
      void this.askPeers();
      return "held";
    }
    return this.#options.config.applyIfNewer(config) ? "in_force" : "older";
  }

  /** Asks some other nodes for a newer configuration. */
  async askPeers(): Promise<void> {
    if (this.#isAsking) {
      return;
    }
    this.#isAsking = true;
    // The addresses of the nodes may be in the update that is being applied.
    await Promise.resolve();
    const version = this.#newest?.config.version ?? 0;
    await Promise.all(
      this.#selectPeers().map((peer) => this.#ask(peer, version)),
    );
    this.#isAsking = false;
    this.#isHolding = false;
    if (!this.#abortController.signal.aborted) {
      this.#applyNewest();
    }
  }

  /** Ends the calls in progress. */
  close(): void {
    this.#abortController.abort();
  }

  #applyNewest(): void {
    const { config, logger } = this.#options;
    if (
      this.#newest !== undefined && config.applyIfNewer(this.#newest.config)
    ) {
      const { version } = config;
      logger.info({ event: "config", outcome: "in_force", version });
    }
  }

  #selectPeers(): string[] {
    const { directory, seeds, ownAddress, rng } = this.#options;
    const known = directory.peers().map(({ callAddress }) => callAddress);
    const candidates = known.length > 0
      ? known
      : seeds.filter((seed) => seed !== ownAddress);
    return rng.shuffle(candidates).slice(0, MAX_PEERS_ASKED);
  }

  async #ask(peer: string, version: number): Promise<void> {
    const { clock, logger, decode } = this.#options;
    const client = new PeerClient({ clock });
    try {
      const { value } = await withTimeout(
        clock,
        client.getJson(peer, {
          path: `${CONFIG_PATH}?after=${version}`,
          signal: this.#abortController.signal,
        }),
        {
          ms: PEER_TIMEOUT_MS,
          onTimeout: () => new Error("the node did not answer in time"),
        },
      );
      const { text } = value as { text?: unknown };
      if (typeof text === "string") {
        const config = decode(text);
        this.#remember({ config, text });
        logger.info({
          event: "config",
          outcome: "from_node",
          version: config.version,
          from: peer,
        });
      }
    } catch (err) {
      logger.info({
        event: "config",
        outcome: "no_answer",
        from: peer,
        err: errorText(err),
      });
    } finally {
      client.close();
    }
  }

  #remember(known: KnownConfig): void {
    const newestVersion = this.#newest?.config.version ?? 0;
    if (known.config.version > newestVersion) {
      this.#newest = known;
    }
  }
}
