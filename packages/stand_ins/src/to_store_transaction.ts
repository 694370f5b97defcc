import type {
  etcd,
  StoreCondition,
  StoreTransaction,
  StoreWrite,
} from "@limpetshed/store";

const decoder = new TextDecoder();

/**
 * Converts an etcd transaction. Supports puts, deletes and comparisons of
 * mod_revision, all taken as equality; the caller runs the reads.
 */
export function toStoreTransaction(req: etcd.TxnRequest): StoreTransaction {
  return {
    conditions: req.compare.map(toCondition),
    writes: req.success.flatMap(toWrite),
  };
}

function toCondition(compare: etcd.Compare): StoreCondition {
  const { targetUnion } = compare;
  if (targetUnion.case !== "modRevision") {
    throw new Error("only comparisons of mod_revision are supported");
  }
  const key = decoder.decode(compare.key);
  return targetUnion.value === 0n
    ? { kind: "absent", key }
    : { kind: "unchanged", key, modRevision: targetUnion.value };
}

function toWrite(op: etcd.RequestOp): StoreWrite[] {
  const { request } = op;
  switch (request.case) {
    case "requestPut":
      return [{
        kind: "put",
        key: decoder.decode(request.value.key),
        value: request.value.value,
        leaseId: request.value.lease,
      }];
    case "requestDeleteRange":
      return [{ kind: "delete", key: decoder.decode(request.value.key) }];
    case "requestRange":
    case undefined:
      return [];
  }
}
