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

/** Carries rollouts on: exchanges evidence with the other nodes and writes what the
 * fleet decides. Idle while no service has an order. */
export class RolloutCoordination {
  readonly #options: RolloutCoordinationOptions;
  readonly #writer: RolloutStatusWriter;
  readonly #source: string;
  readonly #loop: RepeatingTask;
  #targetOffset = 0;
  #passedOn = 0;

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
    this.#exchange({ isUrgent: hasStopped });
    this.#writer.update(
      rollouts.wantedStatuses().map((wanted) => this.#toWish(wanted)),
    );
  }

  /** Sends this node's reports and those of one other node; to all at once if they
   * are urgent. */
  #exchange({ isUrgent }: { isUrgent: boolean }): void {
    const { rollouts, directory, send } = this.#options;
    const others = rollouts.otherReports();
    this.#passedOn += 1;
    const passedOn = others.length === 0
      ? []
      : [others[this.#passedOn % others.length]!];
    const datagrams = [
      ...rollouts.reports(this.#source).flatMap((report) =>
        encodeRolloutMessage(report, { isDirect: true })
      ),
      ...passedOn.flatMap((report) =>
        encodeRolloutMessage(report, { isDirect: false })
      ),
    ];
    const peers = directory.peers();
    const count = isUrgent ? peers.length : Math.min(FANOUT, peers.length);
    for (let index = 0; index < count; index += 1) {
      const place = (this.#targetOffset + index) % peers.length;
      send(peers[place]!.datagramAddress, datagrams);
    }
    this.#targetOffset += count;
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
