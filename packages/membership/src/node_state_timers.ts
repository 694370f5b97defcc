import type { Clock, Timer } from "@limpetshed/base";
import type { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";

/** Options of {@linkcode NodeStateTimers}. */
export interface NodeStateTimersOptions {
  clock: Clock;
  table: NodeTable;
  /** Milliseconds before a suspect is declared dead in a small fleet. */
  suspicionTimeoutMs: number;
}

/** Fleet size up to which the suspicion timeout is not scaled up. */
const UNSCALED_FLEET_NODES = 10;
/** Milliseconds that a dead, unlisted node stays in the table. */
const DEAD_NODE_RETENTION_MS = 60_000;

/**
 * Declares suspects dead after the suspicion timeout. After a retention period,
 * removes dead nodes that the vm list does not show as live.
 */
export class NodeStateTimers {
  readonly #options: NodeStateTimersOptions;
  readonly #timers = new Map<string, Timer>();

  constructor(options: NodeStateTimersOptions) {
    this.#options = options;
  }

  /** Replaces the timer of a node whose state changed. */
  schedule(view: NodeView): void {
    this.#timers.get(view.id)?.cancel();
    this.#timers.delete(view.id);
    const { clock, table } = this.#options;
    if (view.state === "suspect") {
      const timer = clock.setTimer(
        this.#scaledSuspicionTimeoutMs(),
        () => table.setState(view.id, "dead"),
      );
      this.#timers.set(view.id, timer);
    }
    // Removing a node reports it as dead once more; it needs no timer then.
    if (view.state === "dead" && table.get(view.id) !== undefined) {
      const timer = clock.setTimer(
        DEAD_NODE_RETENTION_MS,
        () => this.#removeDead(view.id),
      );
      this.#timers.set(view.id, timer);
    }
  }

  #removeDead(id: string): void {
    this.#timers.delete(id);
    const { table } = this.#options;
    if (table.get(id)?.listed === false) {
      table.remove(id);
    }
  }

  /** Cancels all timers. */
  close(): void {
    for (const timer of this.#timers.values()) {
      timer.cancel();
    }
    this.#timers.clear();
  }

  /** The suspicion timeout, scaled by the logarithm of the fleet size. */
  #scaledSuspicionTimeoutMs(): number {
    const size = this.#options.table.all().length;
    const scale = Math.max(1, Math.log(size) / Math.log(UNSCALED_FLEET_NODES));
    return this.#options.suspicionTimeoutMs * scale;
  }
}
