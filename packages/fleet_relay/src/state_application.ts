import type { Clock } from "@limpetshed/base";
import { DeferredChanges, DeferredRemovals } from "@limpetshed/dispatch";
import type { PeerDirectory } from "@limpetshed/fleet";
import type { Rng } from "@limpetshed/hashing";
import type { EraChange, KeyMirror } from "@limpetshed/mirror";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
import type { RoutingConfig } from "@limpetshed/routing";
import { ConfigIntake } from "./config_intake.ts";
import type { FleetRelaySettings } from "./fleet_relay_settings.ts";
import { NodeAddresses } from "./node_addresses.ts";
import type { StateReplica } from "./state_replica.ts";

/** Components of a node to which changes of shared state are applied. */
export interface StateTargets {
  mirror: KeyMirror;
  node: Pick<
    RelayNode,
    | "config"
    | "registry"
    | "streamOrigins"
    | "serviceVersions"
    | "versionRollouts"
  >;
  configIntake: Pick<ConfigIntake, "offer">;
  /** Delays changes that may be older than what is known. */
  deferredChanges: DeferredChanges;
  /** Delays the removal of endpoints whose entries were deleted. */
  deferredRemovals: DeferredRemovals;
  directory: PeerDirectory;
  /** Addresses that are not those of endpoints, or of other nodes. */
  addresses: Pick<NodeAddresses, "isOwn" | "isNode">;
}

/** Options of {@linkcode StateApplication}. */
export interface StateApplicationOptions {
  clock: Clock;
  logger: Logger;
  rng: Rng;
  settings: FleetRelaySettings;
  directory: PeerDirectory;
  state: Pick<StateReplica, "mirror" | "lastOutageEndMs">;
  node: RelayNode;
  /** Decodes a configuration as it is stored; throws if it is none. */
  decodeConfig: (text: string) => RoutingConfig;
}

/** Keys that a log line names at most. */
const MAX_LOGGED_KEYS = 20;

/** What stands between changes of shared state and the components of a node: delays
 * those that may be undone, and handles later eras of the store. */
export class StateApplication {
  readonly targets: StateTargets;
  readonly configIntake: ConfigIntake;
  readonly #logger: Logger;
  readonly #deferredChanges: DeferredChanges;
  readonly #deferredRemovals: DeferredRemovals;

  constructor(
    { clock, logger, rng, settings, directory, state, node, decodeConfig }:
      StateApplicationOptions,
  ) {
    this.#logger = logger;
    this.#deferredChanges = new DeferredChanges({ clock });
    this.#deferredRemovals = new DeferredRemovals({
      clock,
      registry: node.registry,
      lastOutageEndMs: () => state.lastOutageEndMs,
      drainMs: settings.drainMs,
    });
    this.configIntake = new ConfigIntake({
      clock,
      logger,
      rng,
      config: node.config,
      directory,
      ownAddress: settings.listen.calls,
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
      decode: decodeConfig,
    });
    this.targets = {
      mirror: state.mirror,
      node,
      configIntake: this.configIntake,
      deferredChanges: this.#deferredChanges,
      deferredRemovals: this.#deferredRemovals,
      directory,
      addresses: new NodeAddresses({ listen: settings.listen, directory }),
    };
    state.mirror.onEraChange((change) => {
      this.#logEraChange(change);
      node.streamOrigins.forgetStored();
      void this.configIntake.askPeers();
    });
  }

  /** Discards the changes that wait. */
  close(): void {
    this.#deferredChanges.close();
    this.#deferredRemovals.close();
    this.configIntake.close();
  }

  #logEraChange(
    { previous, position, sender = "store", missingKeys }: EraChange,
  ): void {
    this.#logger.warn({
      event: "store_era",
      era: position.era,
      revision: position.revision,
      previousEra: previous.era,
      previousRevision: previous.revision,
      missing: missingKeys.length,
      missingKeys: missingKeys.slice(0, MAX_LOGGED_KEYS),
      from: sender,
    }, "the store came back from a copy");
  }
}
