/** State of a vm as the platform reports it. */
export type VmState = "live" | "leaving" | "gone";

/** One vm: either a node of the fleet or an endpoint. */
export interface VmRecord {
  id: string;
  kind: "node" | "endpoint";
  /** `ip:port`: a node's peer address or an endpoint's own address. */
  address: string;
  region: string;
  availabilityZone: string;
  /** Service that an endpoint serves; empty for nodes. */
  service: string;
  state: VmState;
}

/** The records that changed after a sequence number. */
export interface VmChanges {
  /** Number to ask from next time. */
  sequence: number;
  /** The list is whole, not only changes: records left out are gone. */
  whole: boolean;
  records: readonly VmRecord[];
}

/** The platform's list of vms; some seconds late. */
export abstract class VmList {
  /**
   * Reads what changed after `sequence`; 0 reads the whole list.
   *
   * @throws RouterError `endpoint_unreachable` when the list does not answer.
   */
  abstract changes(sequence: number): Promise<VmChanges>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
