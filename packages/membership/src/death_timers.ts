import type { Clock, Timer } from "@limpetshed/base";
import type { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";

/** Options of {@linkcode DeathTimers}. */
export interface DeathTimersOptions {
  clock: Clock;
  table: NodeTable;
  /** Milliseconds from suspicion to death in a small fleet. */
  suspectTimeoutMs: number;
}

/** Fleet size up to which the suspicion timeout is not stretched. */
const SMALL_FLEET = 10;
const FORGET_MS = 60_000;

/** Holds suspects dead after a time, and forgets the dead after another. */
export class DeathTimers {
  readonly #options: DeathTimersOptions;
  readonly #timers = new Map<string, Timer>();

  constructor(options: DeathTimersOptions) {
    this.#options = options;
  }

  /** Sets or clears the timer of a node whose state changed. */
  schedule(view: NodeView): void {
    this.#timers.get(view.id)?.cancel();
    this.#timers.delete(view.id);
    const { clock, table } = this.#options;
    if (view.state === "suspect") {
      const timer = clock.setTimer(
        this.#suspicionMs(),
        () => table.setState(view.id, "dead"),
      );
      this.#timers.set(view.id, timer);
    }
    if (view.state === "dead" && table.get(view.id) !== undefined) {
      const timer = clock.setTimer(FORGET_MS, () => this.#forget(view.id));
      this.#timers.set(view.id, timer);
    }
  }

  #forget(id: string): void {
    this.#timers.delete(id);
    const { table } = this.#options;
    if (table.get(id)?.listed === false) {
      table.forget(id);
    }
  }

  /** Clears all timers. */
  close(): void {
    for (const timer of this.#timers.values()) {
      timer.cancel();
    }
    this.#timers.clear();
  }

  /** Milliseconds from suspicion to death; grows with the fleet's size. */
  #suspicionMs(): number {
    const size = this.#options.table.all().length;
    const stretch = Math.max(1, Math.log(size) / Math.log(SMALL_FLEET));
    return this.#options.suspectTimeoutMs * stretch;
  }
}
