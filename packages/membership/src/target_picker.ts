import type { Rng } from "@limpetshed/hashing";
import type { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";

/** Options of {@linkcode TargetPicker}. */
export interface TargetPickerOptions {
  rng: Rng;
  table: NodeTable;
  /** One heartbeat in this many goes outside the region or to the dead. */
  remoteEvery: number;
}

/** Picks whom to send the next heartbeat: shuffled rounds of the region. */
export class TargetPicker {
  readonly #options: TargetPickerOptions;
  #round: string[] = [];
  #beats = 0;

  constructor(options: TargetPickerOptions) {
    this.#options = options;
  }

  /** The next node; undefined when there is none. */
  next(): Readonly<NodeView> | undefined {
    this.#beats += 1;
    const outside = this.#beats % this.#options.remoteEvery === 0
      ? this.#outside()
      : undefined;
    return outside ?? this.#fromRound() ?? this.#fromNewRound();
  }

  /** A node of another region, or a dead one that may have come back. */
  #outside(): Readonly<NodeView> | undefined {
    const { rng, table } = this.#options;
    const others = table.others();
    const remote = others.filter((view) =>
      view.region !== table.self.region && view.state !== "dead"
    );
    const dead = others.filter((view) => view.state === "dead" && view.listed);
    return rng.pick([...remote, ...dead]);
  }

  #fromRound(): Readonly<NodeView> | undefined {
    const { table } = this.#options;
    for (;;) {
      const id = this.#round.pop();
      if (id === undefined) {
        return undefined;
      }
      const view = table.get(id);
      if (view !== undefined && view.state !== "dead") {
        return view;
      }
    }
  }

  #fromNewRound(): Readonly<NodeView> | undefined {
    const { rng, table } = this.#options;
    const local = table.others().filter((view) =>
      view.region === table.self.region && view.state !== "dead"
    );
    this.#round = rng.shuffle(local.map((view) => view.id));
    return this.#fromRound();
  }
}
