import type { peerpb } from "@limpetshed/peer";
import type { VmChanges, VmRecord } from "@limpetshed/vm_list";
import { decodeNodeState } from "./node_record.ts";
import type { NodeState, NodeView } from "./node_view.ts";

/** Of two states of one incarnation, the one with the larger value wins. */
const STATE_PRECEDENCE: Readonly<Record<NodeState, number>> = {
  unheard: 0,
  alive: 1,
  suspect: 2,
  leaving: 3,
  dead: 4,
};

/** All known nodes, including this one, with SWIM merge rules. */
export class NodeTable {
  readonly #self: NodeView;
  readonly #nodes = new Map<string, NodeView>();
  #onChange: (view: NodeView) => void = () => undefined;
  #onDeclaredDead: () => void = () => undefined;

  constructor({ self }: { self: NodeView }) {
    this.#self = self;
    this.#nodes.set(self.id, self);
  }

  /**
   * Sets the callback for nodes added, removed or changed; a change of `listed`
   * alone does not call it.
   */
  set onChange(listener: (view: NodeView) => void) {
    this.#onChange = listener;
  }

  /** Sets the callback for a peer declaring this node dead. */
  set onDeclaredDead(listener: () => void) {
    this.#onDeclaredDead = listener;
  }

  /** This node. */
  get self(): Readonly<NodeView> {
    return this.#self;
  }

  /** Returns a node by id. */
  get(id: string): Readonly<NodeView> | undefined {
    return this.#nodes.get(id);
  }

  /** Returns all nodes except this one. */
  others(): NodeView[] {
    return [...this.#nodes.values()].filter((view) => view !== this.#self);
  }

  /** Returns all nodes. */
  all(): NodeView[] {
    return [...this.#nodes.values()];
  }

  /** Merges a record received from a peer. */
  merge(record: peerpb.NodeRecord): void {
    const state = decodeNodeState(record);
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
        this.#add(toNodeView(record, state));
      }
      return;
    }
    const newer = record.incarnation > known.incarnation;
    const takesPrecedence = record.incarnation === known.incarnation &&
      STATE_PRECEDENCE[state] > STATE_PRECEDENCE[known.state];
    if (newer || takesPrecedence) {
      const { id, address, incarnation } = record;
      this.#nodes.set(id, {
        ...known,
        ...toNodeView(record, state),
        address,
        incarnation,
        listed: known.listed,
        hasAnnouncedLeave: known.hasAnnouncedLeave || state === "leaving",
      });
      this.#onChange(this.#nodes.get(id)!);
    }
  }

  /** Sets the state of a node as observed locally. */
  setState(id: string, state: NodeState): void {
    const view = this.#nodes.get(id);
    if (view !== undefined && view.state !== state) {
      view.state = state;
      this.#onChange(view);
    }
  }

  /** Marks this node as leaving, under a new incarnation. */
  leave(): void {
    this.#self.incarnation += 1n;
    this.#self.state = "leaving";
    this.#self.hasAnnouncedLeave = true;
    this.#onChange(this.#self);
  }

  /** Applies the node records of a full or incremental vm list. */
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
    nodes.forEach((record) => this.#applyVmRecord(record));
  }

  /** Removes a node; the caller checks that it is dead and not listed. */
  remove(id: string): void {
    const view = this.#nodes.get(id);
    if (view !== undefined && view !== this.#self) {
      this.#nodes.delete(id);
      this.#onChange({ ...view, state: "dead" });
    }
  }

  #applyVmRecord(record: VmRecord): void {
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
        hasAnnouncedLeave: false,
      });
      return;
    }
    known.listed = record.state === "live";
  }

  #add(view: NodeView): void {
    this.#nodes.set(view.id, view);
    this.#onChange(view);
  }

  /** Overrides a peer's wrong state of this node by a higher incarnation. */
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

function toNodeView(record: peerpb.NodeRecord, state: NodeState): NodeView {
  return {
    id: record.id,
    address: record.address,
    region: record.region,
    availabilityZone: record.availabilityZone,
    incarnation: record.incarnation,
    state,
    listed: false,
    hasAnnouncedLeave: state === "leaving",
  };
}
