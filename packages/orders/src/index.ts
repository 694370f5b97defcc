/** Reconciliation of endpoints with their configured state. */
export { acquireLoadSlot, type LoadSlotOptions } from "./load_slots.ts";
export {
  EndpointReconciler,
  type EndpointReconcilerOptions,
  type ReconcileTarget,
} from "./endpoint_reconciler.ts";
export {
  acquireFencingNumber,
  type FencingHolder,
  readFencingHolder,
} from "./fencing_number.ts";
