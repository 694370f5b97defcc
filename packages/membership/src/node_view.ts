/**
 * State of a node as this node sees it; `unheard`: known from the vm list only,
 * no heartbeat has mentioned it yet.
 */
export type NodeState = "unheard" | "alive" | "suspect" | "leaving" | "dead";

/** A node of the fleet as this node sees it. */
export interface NodeView {
  id: string;
  /** Peer address, `ip:port`. */
  address: string;
  region: string;
  availabilityZone: string;
  /** Higher after each restart, refutation and announced leave. */
  incarnation: bigint;
  state: NodeState;
  /** Whether the platform's vm list shows it as live. */
  listed: boolean;
  /** Whether it has announced its leave; from then on it owns nothing. */
  hasAnnouncedLeave: boolean;
}
