import type { Buffer } from "node:buffer";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { VersionRollouts, WantedStatus } from "@limpetshed/dispatch";
import {
  type ConditionalStore,
  decodeRolloutMessage,
  encodeRolloutMessage,
  FANOUT,
  type PeerDirectory,
  RolloutStatusWriter,
  ROUND_INTERVAL_MS,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";

/** Where orders and statuses of rollouts are kept. */
export interface RolloutStore {
  store: ConditionalStore;
  orderKey: (service: string) => string;
  statusKey: (service: string) => string;
  /** Encodes a status. */
  encode: (status: WantedStatus) => string;
}

/** Options of {@linkcode RolloutCoordination}. */
export interface RolloutCoordinationOptions {
  clock: Clock;
  logger: Logger;
  rollouts: VersionRollouts;
  nodeId: string;
  /** Unique to each start of this node. */
  incarnation: string;
  directory: PeerDirectory;
  rolloutStore: RolloutStore;
  /** Id of the node that writes to the store for the fleet. */
  writerId: () => string;
  /** Latest era of the store that this node knows of. */
  era: () => number;
  /** Sends datagrams to `ip:port`. */
  send: (address: string, datagrams: readonly Buffer[]) => void;
}

/** Rounds between two reports of this node: half the traffic, and all nodes of a
 * large fleet hear within four seconds. */
const ROUNDS_PER_REPORT = 2;
/** Rounds between two reports that are passed on, and nodes that they go to. */
const ROUNDS_PER_PASSING = 4;
const PASSING_FANOUT = 3;

/** Carries rollouts on: exchanges evidence with the other nodes and writes what the
 * fleet decides. Idle while no service has an order. */
export class RolloutCoordination {
  readonly #options: RolloutCoordinationOptions;
  readonly #writer: RolloutStatusWriter;
  readonly #source: string;
  readonly #loop: RepeatingTask;
  #round = 0;
  #targetOffset = 0;

  constructor(options: RolloutCoordinationOptions) {
    this.#options = options;
    const { clock, logger, nodeId, incarnation, rolloutStore } = options;
    this.#source = `${nodeId}/${incarnation}`;
    this.#writer = new RolloutStatusWriter({
      clock,
      logger,
      store: rolloutStore.store,
      rank: () => this.#rank(),
    });
    this.#loop = repeat(clock, () => this.#carryOn(), {
      intervalMs: ROUND_INTERVAL_MS,
      onError: (err) => logger.error({ event: "rollout", err }),
    });
  }

  /** Handles a datagram; returns whether it is about a rollout. */
  receive(data: Buffer): boolean {
    const message = decodeRolloutMessage(data);
    if (message === undefined) {
      return false;
    }
    const { report, isDirect } = message;
    if (report.source !== this.#source) {
      this.#options.rollouts.merge(report, { isDirect });
    }
    return true;
  }

  /** Stops exchanging and writing. */
  async close(): Promise<void> {
    await Promise.all([this.#loop.close(), this.#writer.close()]);
  }

  #carryOn(): void {
    const { rollouts } = this.#options;
    if (rollouts.isIdle) {
      return;
    }
    const hasStopped = rollouts.tick();
    this.#round += 1;
    if (hasStopped || this.#round % ROUNDS_PER_REPORT === 0) {
      this.#report({ isUrgent: hasStopped });
    }
    if (this.#round % ROUNDS_PER_PASSING === 0) {
      this.#passOn();
    }
    this.#writer.update(
      rollouts.wantedStatuses().map((wanted) => this.#toWish(wanted)),
    );
  }

  /** Sends this node's reports; to all at once if they are urgent. */
  #report({ isUrgent }: { isUrgent: boolean }): void {
    const { rollouts, directory } = this.#options;
    this.#sendToNext(
      isUrgent ? directory.peers().length : FANOUT,
      rollouts.reports(this.#source).flatMap((report) =>
        encodeRolloutMessage(report, { isDirect: true })
      ),
    );
  }

  /** Sends the reports of one other node, which may be dead. */
  #passOn(): void {
    const others = this.#options.rollouts.otherReports();
    const report = others[this.#round / ROUNDS_PER_PASSING % others.length];
    if (report !== undefined) {
      const datagrams = encodeRolloutMessage(report, { isDirect: false });
      this.#sendToNext(PASSING_FANOUT, datagrams);
    }
  }

  #sendToNext(count: number, datagrams: readonly Buffer[]): void {
    const peers = this.#options.directory.peers();
    for (let sent = 0; sent < Math.min(count, peers.length); sent += 1) {
      const { datagramAddress } = peers[this.#targetOffset % peers.length]!;
      this.#options.send(datagramAddress, datagrams);
      this.#targetOffset += 1;
    }
  }

  #toWish(wanted: WantedStatus) {
    const { rollouts, rolloutStore, era } = this.#options;
    const { order: { service, revision }, state, replaces } = wanted;
    const key = rolloutStore.statusKey(service);
    return {
      expect: [
        { key: rolloutStore.orderKey(service), revision },
        { key, revision: replaces },
      ],
      key,
      value: rolloutStore.encode(wanted),
      era: era(),
      onWritten: (written: number) => {
        if (rollouts.get(service)?.order.revision === revision) {
          rollouts.setStatus(service, { state, revision: written });
        }
      },
    };
  }

  /** The node that writes for the fleet comes first, then the others by id. */
  #rank(): number {
    const { nodeId, writerId, directory } = this.#options;
    if (writerId() === nodeId) {
      return 0;
    }
    return 1 + directory.livePeers().filter(({ id }) => id < nodeId).length;
  }
}
