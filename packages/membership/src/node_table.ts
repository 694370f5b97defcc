import type { peerpb } from "@limpetshed/peer";
import type { VmChanges, VmRecord } from "@limpetshed/vm_list";
import { recordState } from "./node_record.ts";
import type { NodeState, NodeView } from "./node_view.ts";

/** Which of two states of one incarnation holds: the larger number. */
const PRECEDENCE: Readonly<Record<NodeState, number>> = {
  unheard: 0,
  alive: 1,
  suspect: 2,
  leaving: 3,
  dead: 4,
};

/** All nodes that this node knows of, itself included. */
export class NodeTable {
  readonly #self: NodeView;
  readonly #nodes = new Map<string, NodeView>();
  #onChange: (view: NodeView) => void = () => undefined;
  #onDeclaredDead: () => void = () => undefined;

  constructor({ self }: { self: NodeView }) {
    this.#self = self;
    this.#nodes.set(self.id, self);
  }

  /** Sets who is told of every change of a node's state or address. */
  set onChange(listener: (view: NodeView) => void) {
    this.#onChange = listener;
  }

  /** Sets who is told that peers hold this node dead. */
  set onDeclaredDead(listener: () => void) {
    this.#onDeclaredDead = listener;
  }

  /** This node. */
  get self(): Readonly<NodeView> {
    return this.#self;
  }

  /** Finds a node. */
  get(id: string): Readonly<NodeView> | undefined {
    return this.#nodes.get(id);
  }

  /** All nodes but this one. */
  others(): NodeView[] {
    return [...this.#nodes.values()].filter((view) => view !== this.#self);
  }

  /** All nodes. */
  all(): NodeView[] {
    return [...this.#nodes.values()];
  }

  /** Merges what a peer says of a node. */
  merge(record: peerpb.NodeRecord): void {
    const state = recordState(record);
    if (state === "unheard" || record.id === "") {
      return;
    }
    if (record.id === this.#self.id) {
      this.#refute(record, state);
      return;
    }
    const known = this.#nodes.get(record.id);
    if (known === undefined) {
      if (state !== "dead") {
        this.#add(viewOf(record, state));
      }
      return;
    }
    const newer = record.incarnation > known.incarnation;
    const stronger = record.incarnation === known.incarnation &&
      PRECEDENCE[state] > PRECEDENCE[known.state];
    if (newer || stronger) {
      const { id, address, incarnation } = record;
      this.#nodes.set(id, {
        ...known,
        ...viewOf(record, state),
        address,
        incarnation,
        listed: known.listed,
        left: known.left || state === "leaving",
      });
      this.#onChange(this.#nodes.get(id)!);
    }
  }

  /** Sets the state that this node itself observed. */
  setState(id: string, state: NodeState): void {
    const view = this.#nodes.get(id);
    if (view !== undefined && view.state !== state) {
      view.state = state;
      this.#onChange(view);
    }
  }

  /** Says that this node is leaving. */
  leave(): void {
    this.#self.incarnation += 1n;
    this.#self.state = "leaving";
    this.#self.left = true;
    this.#onChange(this.#self);
  }

  /** Takes over the node records of a vm list. */
  applyVmList({ whole, records }: VmChanges): void {
    const nodes = records.filter((record) => record.kind === "node");
    if (whole) {
      const listed = new Set(nodes.map((record) => record.id));
      for (const view of this.others()) {
        if (!listed.has(view.id)) {
          view.listed = false;
        }
      }
    }
    nodes.forEach((record) => this.#applyVm(record));
  }

  /** Drops a node that is dead and no longer listed. */
  forget(id: string): void {
    const view = this.#nodes.get(id);
    if (view !== undefined && view !== this.#self) {
      this.#nodes.delete(id);
      this.#onChange({ ...view, state: "dead" });
    }
  }

  #applyVm(record: VmRecord): void {
    if (record.id === this.#self.id) {
      return;
    }
    const known = this.#nodes.get(record.id);
    if (record.state === "gone") {
      if (known !== undefined) {
        known.listed = false;
        this.setState(known.id, "dead");
      }
      return;
    }
    if (known === undefined) {
      this.#add({
        id: record.id,
        address: record.address,
        region: record.region,
        availabilityZone: record.availabilityZone,
        incarnation: 0n,
        state: "unheard",
        listed: record.state === "live",
        left: false,
      });
      return;
    }
    known.listed = record.state === "live";
  }

  #add(view: NodeView): void {
    this.#nodes.set(view.id, view);
    this.#onChange(view);
  }

  #refute(record: peerpb.NodeRecord, state: NodeState): void {
    const outdated = record.incarnation < this.#self.incarnation;
    if (outdated || state === "alive" || state === this.#self.state) {
      return;
    }
    this.#self.incarnation = record.incarnation + 1n;
    if (state === "dead") {
      this.#onDeclaredDead();
    }
    this.#onChange(this.#self);
  }
}

function viewOf(record: peerpb.NodeRecord, state: NodeState): NodeView {
  return {
    id: record.id,
    address: record.address,
    region: record.region,
    availabilityZone: record.availabilityZone,
    incarnation: record.incarnation,
    state,
    listed: false,
    left: state === "leaving",
  };
}
