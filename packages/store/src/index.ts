/** Key-value store interface, etcd v3 adapter and rate-limited client. */
export { EtcdStore, type EtcdStoreOptions } from "./etcd_store.ts";
export * as etcd from "./generated/etcd/etcd_pb.ts";
export {
  Store,
  type StoreChange,
  type StoreCondition,
  type StoreEntry,
  type StoreLease,
  type StoreTransaction,
  type StoreTransactionResult,
  type StoreWrite,
} from "./store.ts";
export { StoreClient, type StoreClientOptions } from "./store_client.ts";
