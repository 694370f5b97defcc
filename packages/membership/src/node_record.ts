import { create } from "@bufbuild/protobuf";
import { peerpb } from "@limpetshed/peer";
import type { NodeState, NodeView } from "./node_view.ts";

const { NodeState: ProtoNodeState } = peerpb;

const TO_PROTO_STATE: Readonly<Record<NodeState, peerpb.NodeState>> = {
  unheard: ProtoNodeState.UNSPECIFIED,
  alive: ProtoNodeState.ALIVE,
  suspect: ProtoNodeState.SUSPECT,
  leaving: ProtoNodeState.LEAVING,
  dead: ProtoNodeState.DEAD,
};

/** Converts a node to its wire record. */
export function toNodeRecord(view: NodeView): peerpb.NodeRecord {
  return create(peerpb.NodeRecordSchema, {
    id: view.id,
    address: view.address,
    region: view.region,
    availabilityZone: view.availabilityZone,
    incarnation: view.incarnation,
    state: TO_PROTO_STATE[view.state],
  });
}

/** Converts the state of a wire record; unknown values map to `unheard`. */
export function decodeNodeState(record: peerpb.NodeRecord): NodeState {
  switch (record.state) {
    case ProtoNodeState.ALIVE:
      return "alive";
    case ProtoNodeState.SUSPECT:
      return "suspect";
    case ProtoNodeState.LEAVING:
      return "leaving";
    case ProtoNodeState.DEAD:
      return "dead";
    default:
      return "unheard";
  }
}
