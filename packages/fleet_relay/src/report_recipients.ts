import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode ReportRecipients}. */
export interface ReportRecipientsOptions {
  clock: Clock;
  /** Id of this node. */
  nodeId: string;
  /** Ids of the nodes that may write to the store, this one among them, in order
   * of preference. */
  candidates: () => readonly string[];
}

/** Who brings the streams of a report to the store. */
export interface Recipients {
  /** Id of the node that writes them. */
  writer: string;
  /** Id of another node than this one that writes them if the writer does not;
   * undefined if there is none. */
  copyHolder: string | undefined;
}

/** Time after which a node that did not acknowledge a report is tried again. */
const SILENCE_MS = 2_000;

/**
 * Chooses the nodes that bring this node's streams to the store. A node that does
 * not acknowledge reports may have ended, stand still, be out of reach or have lost
 * the store, long before its datagrams are missed: others come first for a time.
 */
export class ReportRecipients {
  readonly #options: ReportRecipientsOptions;
  /** Until when each silent node comes after the others, as monotonic times. */
  readonly #silentUntilMs = new Map<string, number>();

  constructor(options: ReportRecipientsOptions) {
    this.#options = options;
  }

  /** Records that a node acknowledged a report. */
  recordAnswer(id: string): void {
    this.#silentUntilMs.delete(id);
  }

  /** Records that nodes have not acknowledged reports in time. */
  recordSilence(ids: ReadonlySet<string>): void {
    const untilMs = this.#options.clock.monotonicMs() + SILENCE_MS;
    ids.forEach((id) => this.#silentUntilMs.set(id, untilMs));
  }

  /** Chooses the recipients of a report. */
  choose(): Recipients {
    const { clock, nodeId, candidates } = this.#options;
    const now = clock.monotonicMs();
    for (const [id, untilMs] of [...this.#silentUntilMs]) {
      if (untilMs <= now) {
        this.#silentUntilMs.delete(id);
      }
    }
    const silentUntilMs = (id: string) => this.#silentUntilMs.get(id) ?? 0;
    const [writer = nodeId, ...others] = [...candidates()].sort((a, b) =>
      silentUntilMs(a) - silentUntilMs(b)
    );
    return { writer, copyHolder: others.find((id) => id !== nodeId) };
  }
}
