import type { peerpb } from "@limpetshed/peer";
import { toNodeRecord } from "./node_record.ts";
import type { NodeView } from "./node_view.ts";

interface QueuedUpdate {
  view: NodeView;
  sent: number;
}

const MAX_RECORDS_PER_MESSAGE = 8;
const BASE_SENDS = 3;

/**
 * Node changes to piggyback on heartbeats. Each is sent a number of times
 * that grows with the logarithm of the fleet size, and a message carries a
 * bounded number of them, so the cost per message is constant.
 */
export class GossipQueue {
  readonly #updates = new Map<string, QueuedUpdate>();

  /** Adds an update, replacing an earlier one about the same node. */
  add(view: NodeView): void {
    this.#updates.set(view.id, { view: { ...view }, sent: 0 });
  }

  /** Returns the records for one message, least often sent first. */
  takeBatch(fleetSize: number): peerpb.NodeRecord[] {
    const maxSends = BASE_SENDS + 2 * Math.ceil(Math.log2(fleetSize + 1));
    const batch = [...this.#updates.values()]
      .sort((a, b) => a.sent - b.sent)
      .slice(0, MAX_RECORDS_PER_MESSAGE);
    for (const update of batch) {
      update.sent += 1;
      if (update.sent >= maxSends) {
        this.#updates.delete(update.view.id);
      }
    }
    return batch.map((update) => toNodeRecord(update.view));
  }
}
