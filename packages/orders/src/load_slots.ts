import { Buffer } from "node:buffer";
import type { StoreClient } from "@limpetshed/store";

const SLOT_KEY_PREFIX = "limpetshed/weights/slot/";

/** Options of {@linkcode acquireLoadSlot}. */
export interface LoadSlotOptions {
  nodeId: string;
  /** Loads that all nodes together may start within one `slotMs`. */
  slots?: number;
  /** Lease duration of a slot, in milliseconds. */
  slotMs?: number;
}

/**
 * Acquires one of the slots for loading weights that all nodes share; returns
 * false if all are in use. The slots limit the rate of reads from the weight
 * store. A slot is a key under a lease that is never renewed, so it is freed
 * even if this node crashes.
 */
export async function acquireLoadSlot(
  store: StoreClient,
  { nodeId, slots = 2, slotMs = 30_000 }: LoadSlotOptions,
): Promise<boolean> {
  const lease = await store.grantLease(slotMs);
  for (let slot = 0; slot < slots; slot += 1) {
    const key = `${SLOT_KEY_PREFIX}${slot}`;
    const { succeeded } = await store.transact("order", {
      conditions: [{ kind: "absent", key }],
      writes: [{
        kind: "put",
        key,
        value: Buffer.from(nodeId, "utf8"),
        leaseId: lease.id,
      }],
    });
    if (succeeded) {
      return true;
    }
  }
  await store.revokeLease(lease.id);
  return false;
}
