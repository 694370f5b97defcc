/**
 * State of a node as this node sees it; `unheard`: listed, but not yet heard
 * of from any node.
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
  /** Whether it announced that it leaves; it then no longer owns anything. */
  hasAnnouncedLeave: boolean;
}
