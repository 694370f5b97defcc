/** Stand-ins for the platform and the endpoints. */
export { EtcdStandIn, type EtcdStandInOptions } from "./etcd_stand_in.ts";
export { FakeEndpointClient, FakeEndpoints } from "./fake_endpoint_client.ts";
export { FakeStore } from "./fake_store.ts";
export { StandInServer } from "./http_server.ts";
export { KvEngine } from "./kv_engine.ts";
export { type KvFault, type KvFaults, noKvFaults } from "./kv_faults.ts";
export {
  CRASH_TEXT,
  ModelEngine,
  type ModelEngineOptions,
} from "./model_engine.ts";
export { modelServer } from "./model_server.ts";
export { PlainEngine, type PlainFault } from "./plain_engine.ts";
export { plainServer, REFERENCE_HEADER } from "./plain_server.ts";
export { type ChatMessage, countTokens } from "./prefix_cache.ts";
export { FakeVmList } from "./vm_list_engine.ts";
export { vmListServer } from "./vm_list_stand_in.ts";
