import type { Clock } from "@limpetshed/base";
import type { ServiceVersions, StreamOrigin } from "@limpetshed/dispatch";

/** Options of {@linkcode MarkDuty}. */
export interface MarkDutyOptions {
  clock: Clock;
  nodeId: string;
  versions: Pick<ServiceVersions, "inService" | "findMark">;
  /** Ids of the nodes that write to the store for the fleet, in order of
   * preference. */
  writerIds: () => readonly string[];
}

/** Time after its start in which a node does not know its peers yet, so that all
 * nodes of a fleet that starts would write the same. */
const PEER_DISCOVERY_MS = 1_500;
/** Time that a node leaves to each one before it to write a mark. */
const RANK_DELAY_MS = 500;
/** The nodes beyond this rank write no marks, so that few nodes call a store in
 * trouble. */
const MAX_RANK = 2;

/** Decides which marks of software versions this node has to keep: all of them as
 * the first writer, and those that the writers before it have left out. */
export class MarkDuty {
  readonly #options: MarkDutyOptions;
  readonly #startedMs: number;
  /** Since when versions in service have no mark, as monotonic times. */
  #unmarkedSinceMs = new Map<string, number>();

  constructor(options: MarkDutyOptions) {
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
  }

  /** The versions that this node has to keep marks of. */
  due(): StreamOrigin[] {
    const { clock, nodeId, versions, writerIds } = this.#options;
    const now = clock.monotonicMs();
    if (now - this.#startedMs < PEER_DISCOVERY_MS) {
      return [];
    }
    const rank = writerIds().indexOf(nodeId);
    if (rank === 0) {
      return versions.inService();
    }
    if (rank < 0 || rank > MAX_RANK) {
      return [];
    }
    const unmarkedSinceMs = new Map<string, number>();
    const due = versions.inService().filter((mark) => {
      if (versions.findMark(mark) !== undefined) {
        return false;
      }
      const id = JSON.stringify([mark.service, mark.version]);
      const sinceMs = this.#unmarkedSinceMs.get(id) ?? now;
      unmarkedSinceMs.set(id, sinceMs);
      return now - sinceMs >= rank * RANK_DELAY_MS;
    });
    this.#unmarkedSinceMs = unmarkedSinceMs;
    return due;
  }
}
