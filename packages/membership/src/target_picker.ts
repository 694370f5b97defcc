import type { Rng } from "@limpetshed/hashing";
import type { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";

/** Options of {@linkcode TargetPicker}. */
export interface TargetPickerOptions {
  rng: Rng;
  table: NodeTable;
  /** Every nth heartbeat goes to another region or to a dead node. */
  remoteEvery: number;
}

/** Picks heartbeat targets in shuffled rounds over the region's nodes. */
export class TargetPicker {
  readonly #options: TargetPickerOptions;
  /** Ids of the nodes not yet returned in this round. */
  #remainingInRound: string[] = [];
  #heartbeatCount = 0;

  constructor(options: TargetPickerOptions) {
    this.#options = options;
  }

  /** Returns the next target; undefined if there is none. */
  next(): Readonly<NodeView> | undefined {
    this.#heartbeatCount += 1;
    const remoteOrDead = this.#heartbeatCount % this.#options.remoteEvery === 0
      ? this.#pickRemoteOrDead()
      : undefined;
    return remoteOrDead ?? this.#nextInRound() ?? this.#startNewRound();
  }

  /** A node of another region, or a listed dead one that may be reachable. */
  #pickRemoteOrDead(): Readonly<NodeView> | undefined {
    const { rng, table } = this.#options;
    const others = table.others();
    const remote = others.filter((view) =>
      view.region !== table.self.region && view.state !== "dead"
    );
    const dead = others.filter((view) => view.state === "dead" && view.listed);
    return rng.pick([...remote, ...dead]);
  }

  #nextInRound(): Readonly<NodeView> | undefined {
    const { table } = this.#options;
    for (;;) {
      const id = this.#remainingInRound.pop();
      if (id === undefined) {
        return undefined;
      }
      const view = table.get(id);
      if (view !== undefined && view.state !== "dead") {
        return view;
      }
    }
  }

  #startNewRound(): Readonly<NodeView> | undefined {
    const { rng, table } = this.#options;
    const local = table.others().filter((view) =>
      view.region === table.self.region && view.state !== "dead"
    );
    this.#remainingInRound = rng.shuffle(local.map((view) => view.id));
    return this.#nextInRound();
  }
}
