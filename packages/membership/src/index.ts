/** Node and endpoint membership, failure detection and ownership. */
export { EndpointDirectory, type EndpointInfo } from "./endpoint_directory.ts";
export type { HeartbeatContributor } from "./heartbeat_contributor.ts";
export { Membership, type MembershipOptions } from "./membership.ts";
export { CONTACT_TIMEOUT_MS } from "./prober.ts";
export type { NodeState, NodeView } from "./node_view.ts";
export { OwnerMap, type Owners } from "./owner_map.ts";
export { VmListPoller, type VmListPollerOptions } from "./vm_list_poller.ts";
