import type { peerpb } from "@limpetshed/peer";
import { toRecord } from "./node_record.ts";
import type { NodeView } from "./node_view.ts";

interface News {
  view: NodeView;
  sent: number;
}

const MAX_RECORDS = 8;
const EXTRA_SENDS = 3;

/**
 * Changes of nodes still to be told. Each is sent a number of times that
 * grows with the logarithm of the fleet, so the cost per node is constant.
 */
export class NewsQueue {
  readonly #news = new Map<string, News>();

  /** Adds or replaces the news of one node. */
  add(view: NodeView): void {
    this.#news.set(view.id, { view: { ...view }, sent: 0 });
  }

  /** Takes the records for one message, least often sent first. */
  take(fleetSize: number): peerpb.NodeRecord[] {
    const limit = EXTRA_SENDS + 2 * Math.ceil(Math.log2(fleetSize + 1));
    const chosen = [...this.#news.values()]
      .sort((a, b) => a.sent - b.sent)
      .slice(0, MAX_RECORDS);
    for (const news of chosen) {
      news.sent += 1;
      if (news.sent >= limit) {
        this.#news.delete(news.view.id);
      }
    }
    return chosen.map((news) => toRecord(news.view));
  }
}
