import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { describe, it } from "mocha";
import { peerpb } from "@limpetshed/peer";
import { NodeTable } from "../src/node_table.ts";

const { NodeState } = peerpb;

function record(id: string, state: peerpb.NodeState, incarnation = 1n) {
  return create(peerpb.NodeRecordSchema, {
    id,
    address: `peer://${id}`,
    region: "r",
    availabilityZone: "z",
    incarnation,
    state,
  });
}

describe("NodeTable", () => {
  const make = () =>
    new NodeTable({
      self: {
        id: "self",
        address: "peer://self",
        region: "r",
        availabilityZone: "z",
        incarnation: 5n,
        state: "alive",
        listed: true,
        hasAnnouncedLeave: false,
      },
    });

  it("keeps the state of higher precedence of one incarnation, in either order", () => {
    for (
      const order of [[NodeState.SUSPECT, NodeState.ALIVE], [
        NodeState.ALIVE,
        NodeState.SUSPECT,
      ]]
    ) {
      const table = make();
      order.forEach((state) => table.merge(record("a", state)));
      expect(table.get("a")?.state).to.equal("suspect");
    }
  });

  it("lets a newer incarnation override an older state", () => {
    const table = make();
    table.merge(record("a", NodeState.ALIVE));
    table.merge(record("a", NodeState.DEAD));
    table.merge(record("a", NodeState.ALIVE, 2n));
    expect(table.get("a")?.state).to.equal("alive");
    table.merge(record("a", NodeState.DEAD));
    expect(table.get("a")?.state).to.equal("alive");
  });

  it("refutes a wrong state of this node with a higher incarnation", () => {
    const table = make();
    let declaredDead = 0;
    table.onDeclaredDead = () => declaredDead += 1;
    table.merge(record("self", NodeState.DEAD, 5n));
    expect(table.self.incarnation).to.equal(6n);
    expect(table.self.state).to.equal("alive");
    expect(declaredDead).to.equal(1);
    table.merge(record("self", NodeState.SUSPECT, 3n));
    expect(table.self.incarnation).to.equal(6n);
  });

  it("keeps the announced leave of a node that is then declared dead", () => {
    const table = make();
    table.merge(record("a", NodeState.ALIVE));
    table.merge(record("a", NodeState.LEAVING, 2n));
    table.setState("a", "dead");
    expect(table.get("a")?.hasAnnouncedLeave).to.equal(true);
  });
});
