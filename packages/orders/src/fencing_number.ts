import { Buffer } from "node:buffer";
import { hasErrorKind } from "@limpetshed/errors";
import type { StoreClient } from "@limpetshed/store";

/** The node that may send orders to an endpoint, and its fencing number. */
export interface FencingHolder {
  fencingNumber: number;
  nodeId: string;
}

const HOLDER_KEY_PREFIX = "limpetshed/order/";

/** Reads an endpoint's current holder; undefined if it never had one. */
export async function readFencingHolder(
  store: StoreClient,
  endpointId: string,
): Promise<{ holder: FencingHolder; modRevision: bigint } | undefined> {
  const entry = await store.get("order", HOLDER_KEY_PREFIX + endpointId);
  return entry === undefined ? undefined : {
    holder: JSON.parse(
      Buffer.from(entry.value).toString("utf8"),
    ) as FencingHolder,
    modRevision: entry.modRevision,
  };
}

/**
 * Makes this node the holder under the next fencing number. Returns undefined
 * if another node acquired it first or the outcome of the write is unknown.
 */
export async function acquireFencingNumber(
  store: StoreClient,
  { endpointId, nodeId }: { endpointId: string; nodeId: string },
): Promise<FencingHolder | undefined> {
  const key = HOLDER_KEY_PREFIX + endpointId;
  const found = await readFencingHolder(store, endpointId);
  const fencingNumber = (found?.holder.fencingNumber ?? 0) + 1;
  const holder: FencingHolder = { fencingNumber, nodeId };
  try {
    const { succeeded } = await store.transact("order", {
      conditions: [
        found === undefined ? { kind: "absent", key } : {
          kind: "unchanged",
          key,
          modRevision: found.modRevision,
        },
      ],
      writes: [{
        kind: "put",
        key,
        value: Buffer.from(JSON.stringify(holder), "utf8"),
      }],
    });
    return succeeded ? holder : undefined;
  } catch (err) {
    if (hasErrorKind(err, "store_outcome_unknown")) {
      return undefined;
    }
    throw err;
  }
}
