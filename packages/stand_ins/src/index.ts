/** Test doubles for the platform and the endpoints, with fault injection. */
export {
  FakeEtcdServer,
  type FakeEtcdServerOptions,
} from "./fake_etcd_server.ts";
export { FakeEndpointClient, FakeEndpoints } from "./fake_endpoint_client.ts";
export { FakeStore } from "./fake_store.ts";
export { LoopbackHttpServer } from "./loopback_http_server.ts";
export { KvEngine } from "./kv_engine.ts";
export { type KvFault, type KvFaults, noKvFaults } from "./kv_faults.ts";
export {
  CRASH_TEXT,
  FakeModelEngine,
  type FakeModelEngineOptions,
} from "./fake_model_engine.ts";
export { createModelServer } from "./create_model_server.ts";
export {
  FakePlainService,
  type PlainServiceFault,
} from "./fake_plain_service.ts";
export { createPlainServer, REFERENCE_HEADER } from "./create_plain_server.ts";
export { type ChatMessage, countTokens } from "./prefix_cache.ts";
export { FakeVmList } from "./fake_vm_list.ts";
export { createVmListServer } from "./create_vm_list_server.ts";
