import type { peerpb } from "@limpetshed/peer";
import { toNodeRecord } from "./node_record.ts";
import type { NodeView } from "./node_view.ts";

interface QueuedUpdate {
  view: NodeView;
  /** Number of messages that have carried the update. */
  sendCount: number;
}

const MAX_RECORDS_PER_MESSAGE = 8;
const EXTRA_SENDS = 3;

/**
 * Node changes to piggyback on heartbeats. Each is sent a number of times that
 * grows only with the logarithm of the fleet size, and a message has a maximum
 * number of changes, so the cost per node is constant.
 */
export class GossipQueue {
  readonly #updates = new Map<string, QueuedUpdate>();

  /** Adds an update, replacing an earlier one about the same node. */
  add(view: NodeView): void {
    this.#updates.set(view.id, { view: { ...view }, sendCount: 0 });
  }

  /** Returns the records for one message, least sent first; counts the send. */
  take(fleetSize: number): peerpb.NodeRecord[] {
    const maxSends = EXTRA_SENDS + 2 * Math.ceil(Math.log2(fleetSize + 1));
    const chosen = [...this.#updates.values()]
      .sort((a, b) => a.sendCount - b.sendCount)
      .slice(0, MAX_RECORDS_PER_MESSAGE);
    for (const update of chosen) {
      update.sendCount += 1;
      if (update.sendCount >= maxSends) {
        this.#updates.delete(update.view.id);
      }
    }
    return chosen.map((update) => toNodeRecord(update.view));
  }
}
