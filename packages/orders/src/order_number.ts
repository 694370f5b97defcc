import { Buffer } from "node:buffer";
import { hasErrorKind } from "@limpetshed/errors";
import type { StoreClient } from "@limpetshed/store";

/** Who may give orders to one endpoint, and under which number. */
export interface OrderHolder {
  fencingNumber: number;
  nodeId: string;
}

const PREFIX = "limpetshed/order/";

/** Reads the present holder; undefined if there was none yet. */
export async function readHolder(
  store: StoreClient,
  endpointId: string,
): Promise<{ holder: OrderHolder; modRevision: bigint } | undefined> {
  const entry = await store.get("order", PREFIX + endpointId);
  return entry === undefined ? undefined : {
    holder: JSON.parse(
      Buffer.from(entry.value).toString("utf8"),
    ) as OrderHolder,
    modRevision: entry.modRevision,
  };
}

/**
 * Makes this node the holder under the next fencing number. Returns
 * undefined when another node came first or the outcome is not known.
 */
export async function takeNumber(
  store: StoreClient,
  { endpointId, nodeId }: { endpointId: string; nodeId: string },
): Promise<OrderHolder | undefined> {
  const key = PREFIX + endpointId;
  const found = await readHolder(store, endpointId);
  const fencingNumber = (found?.holder.fencingNumber ?? 0) + 1;
  const holder: OrderHolder = { fencingNumber, nodeId };
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
