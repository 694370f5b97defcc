import { Buffer } from "node:buffer";
import type { StoreClient } from "@limpetshed/store";

const SLOT_KEY_PREFIX = "limpetshed/weights/slot/";

/** Options of {@linkcode acquireLoadSlot}. */
export interface LoadSlotOptions {
  nodeId: string;
  /** Loads that may start within one `slotMs` over the whole fleet. */
  slots?: number;
  /** Milliseconds that a slot stays taken. */
  slotMs?: number;
}

/**
 * Takes one of the fleet's slots for loading weights, so that the weight
 * store's rate is kept. A slot is a key under a lease that is never kept
 * alive: the store frees it, whatever becomes of this node.
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
