/** State of a node as this node sees it. */
export type NodeState = "unheard" | "alive" | "suspect" | "leaving" | "dead";

/** One node of the fleet as this node sees it. */
export interface NodeView {
  id: string;
  /** Peer address, `ip:port`. */
  address: string;
  region: string;
  availabilityZone: string;
  /** Grows with every restart and every refuted suspicion. */
  incarnation: bigint;
  state: NodeState;
  /** The platform's vm list shows it as live. */
  listed: boolean;
  /** It said that it was leaving, and so no longer owns anything. */
  left: boolean;
}
