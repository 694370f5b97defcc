import type { Clock } from "@limpetshed/base";
import { PeerChangeSource, type PeerDirectory } from "@limpetshed/fleet";
import type { Rng } from "@limpetshed/hashing";
import {
  type ChangeReader,
  type ChangeSource,
  ConfirmationWaiters,
  type KeyClass,
  KeyMirror,
  makePropagationBudget,
  MirrorFollower,
  type PropagationBudget,
  StateConfirmer,
  StateRefresher,
} from "@limpetshed/mirror";
import type { Logger, RelayMetrics } from "@limpetshed/observe";
import type { FleetRelaySettings } from "./fleet_relay_settings.ts";
import { StateAges } from "./state_ages.ts";
import { StateSourceSelector } from "./state_source_selector.ts";

/** Options of {@linkcode StateReplica}. */
export interface StateReplicaOptions {
  clock: Clock;
  logger: Logger;
  metrics: RelayMetrics;
  rng: Rng;
  settings: Pick<
    FleetRelaySettings,
    "nodeId" | "availabilityZone" | "listen" | "seeds" | "propagationMs"
  >;
  directory: PeerDirectory;
  /** Reads shared state from the store. */
  storeSource: ChangeSource & ChangeReader;
  /** Reads shared state from other nodes; by default over HTTP. */
  makePeerSource?: (selectPeer: () => string | undefined) => PeerSource;
  /** Classes of the keys of shared state. */
  keyClasses: readonly KeyClass[];
}

/** A source of changes that calls other nodes. */
export type PeerSource =
  & ChangeSource
  & Pick<PeerChangeSource, "address" | "close">;

/** This node's copy of the shared state: follows the store or other nodes, and
 * reads the store itself when neither confirms the copy in time. */
export class StateReplica {
  readonly mirror: KeyMirror;
  readonly sourceSelector: StateSourceSelector;
  readonly followers: { store: MirrorFollower; peers: MirrorFollower };
  readonly #clock: Clock;
  readonly #peerSource: PeerSource;
  readonly #refresher: StateRefresher;
  readonly #confirmer: StateConfirmer;
  readonly #confirmationWaiters: ConfirmationWaiters;
  readonly #ages: StateAges;

  constructor(options: StateReplicaOptions) {
    const { clock, logger, settings, directory, storeSource } = options;
    this.#clock = clock;
    this.mirror = new KeyMirror({ classes: options.keyClasses });
    const budget = makePropagationBudget(settings.propagationMs);
    this.sourceSelector = new StateSourceSelector({
      clock,
      rng: options.rng,
      nodeId: settings.nodeId,
      availabilityZone: settings.availabilityZone,
      ownAddress: settings.listen.calls,
      directory,
      mirror: this.mirror,
      seeds: settings.seeds,
      gatherMs: budget.gatherMs,
      maxStateAgeMs: budget.maxStateAgeMs,
    });
    const { makePeerSource = makeHttpSource(clock) } = options;
    this.#peerSource = makePeerSource(() => this.sourceSelector.selectPeer());
    this.followers = this.#makeFollowers(options, budget);
    this.#confirmer = new StateConfirmer({
      clock,
      mirror: this.mirror,
      reader: storeSource,
      timeoutMs: budget.callMs,
    });
    this.#refresher = new StateRefresher({
      clock,
      logger,
      mirror: this.mirror,
      reader: storeSource,
      budget,
      isStoreReachedByPeers: () => this.sourceSelector.isStoreReachedByPeers,
      describeSources: () => ({
        storeCallMs: roundIfKnown(this.followers.store.pendingMs),
        peerCallMs: roundIfKnown(this.followers.peers.pendingMs),
        peer: this.#peerSource.address,
      }),
    });
    this.#confirmationWaiters = new ConfirmationWaiters({
      mirror: this.mirror,
    });
    this.#ages = new StateAges({
      mirror: this.mirror,
      metrics: options.metrics,
      outageMs: settings.propagationMs,
    });
  }

  /** Time since the state was confirmed as current, milliseconds; infinite
   * before the first read. */
  get ageMs(): number {
    return this.#clock.monotonicMs() - this.mirror.confirmedMs;
  }

  /** As `ageMs`, by class of keys. */
  classAges(): { name: string; ageMs: number }[] {
    const now = this.#clock.monotonicMs();
    return this.mirror.classes.map((keyClass) => ({
      name: keyClass.name,
      ageMs: now - this.mirror.classConfirmedMs(keyClass),
    }));
  }

  /** Monotonic time at which the last outage of the store ended; negative
   * infinity if there was none. */
  get lastOutageEndMs(): number {
    return this.#ages.lastOutageEndMs;
  }

  /** Confirms the state with the store; resolves to whether it now holds a state
   * from after the monotonic time `afterMs`. */
  confirm(afterMs: number): Promise<boolean> {
    return this.#confirmer.confirm(afterMs);
  }

  /** Calls `fn` once followers or the refresher have confirmed the state after the
   * monotonic time `afterMs`; the function that it returns cancels that. */
  onceConfirmed(afterMs: number, fn: () => void): () => void {
    return this.#confirmationWaiters.add(afterMs, fn);
  }

  /** Ends all calls in progress. */
  async close(): Promise<void> {
    this.#confirmationWaiters.close();
    this.#confirmer.close();
    this.#peerSource.close();
    await Promise.all([
      this.followers.store.close(),
      this.followers.peers.close(),
      this.#refresher.close(),
    ]);
  }

  #makeFollowers(
    { clock, logger, storeSource }: StateReplicaOptions,
    { gatherMs }: PropagationBudget,
  ): StateReplica["followers"] {
    const selector = this.sourceSelector;
    const shared = { clock, logger, mirror: this.mirror, gatherMs };
    const store = new MirrorFollower({
      ...shared,
      source: storeSource,
      isEnabled: () => selector.isWatcher,
    });
    selector.setStoreFollower(store);
    const peers = new MirrorFollower({
      ...shared,
      source: this.#peerSource,
      isEnabled: () => selector.shouldFollowPeers,
    });
    return { store, peers };
  }
}

function makeHttpSource(
  clock: Clock,
): (selectPeer: () => string | undefined) => PeerSource {
  return (selectPeer) => new PeerChangeSource({ clock, selectPeer });
}

function roundIfKnown(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
