/** Lifecycle state of a vm, as reported by the platform. */
export type VmState = "live" | "leaving" | "gone";

/** A vm that runs either a node of the fleet or an endpoint. */
export interface VmRecord {
  id: string;
  kind: "node" | "endpoint";
  /** `ip:port`: peer address of a node, or address of an endpoint. */
  address: string;
  region: string;
  availabilityZone: string;
  /** Service provided by the endpoint; empty for nodes. */
  service: string;
  state: VmState;
}

/** Records that changed after a sequence number. */
export interface VmChanges {
  /** Sequence number to pass to the next read. */
  sequence: number;
  /** Whether `records` is the complete list; vms not in it are gone. */
  whole: boolean;
  records: readonly VmRecord[];
}

/** The platform's list of vms, which lags reality by a few seconds. */
export abstract class VmList {
  /**
   * Reads the records changed after `sinceSequence`; 0 reads the complete list.
   *
   * @throws RouterError `endpoint_unreachable` if the list cannot be read.
   */
  abstract changes(sinceSequence: number): Promise<VmChanges>;

  /** Closes the connections to the platform. */
  abstract close(): Promise<void>;
}
