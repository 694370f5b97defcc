import { create } from "@bufbuild/protobuf";
import { peerpb } from "@limpetshed/peer";
import type { NodeState, NodeView } from "./node_view.ts";

const { NodeState: WireState } = peerpb;

const TO_WIRE: Readonly<Record<NodeState, peerpb.NodeState>> = {
  unheard: WireState.UNSPECIFIED,
  alive: WireState.ALIVE,
  suspect: WireState.SUSPECT,
  leaving: WireState.LEAVING,
  dead: WireState.DEAD,
};

/** Encodes a node's view for a heartbeat. */
export function toRecord(view: NodeView): peerpb.NodeRecord {
  return create(peerpb.NodeRecordSchema, {
    id: view.id,
    address: view.address,
    region: view.region,
    availabilityZone: view.availabilityZone,
    incarnation: view.incarnation,
    state: TO_WIRE[view.state],
  });
}

/** State carried by a record; unknown values count as unheard. */
export function recordState(record: peerpb.NodeRecord): NodeState {
  switch (record.state) {
    case WireState.ALIVE:
      return "alive";
    case WireState.SUSPECT:
      return "suspect";
    case WireState.LEAVING:
      return "leaving";
    case WireState.DEAD:
      return "dead";
    default:
      return "unheard";
  }
}
