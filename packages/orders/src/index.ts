/** Orders to endpoints. */
export { type LoadSlotOptions, takeLoadSlot } from "./load_slots.ts";
export {
  OrderGiver,
  type OrderGiverOptions,
  type OrderTarget,
} from "./order_giver.ts";
export { type OrderHolder, readHolder, takeNumber } from "./order_number.ts";
