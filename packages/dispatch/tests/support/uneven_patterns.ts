import type { Pattern } from "./uneven_model.ts";

/** Spreads integers over `[0, 1)`. */
function scatter(value: number): number {
  const mixed = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  return ((Math.imul(mixed ^ (mixed >>> 12), 0x297a2d39) >>> 0) % 1_000) /
    1_000;
}

/** VMs of different speed. */
export const unequalVms: Pattern = (endpoint) => endpoint % 3 === 0 ? 1.3 : 1;

/** Other guests disturb 15% of the VMs, other ones every 0.6 s. */
export const disturbances: Pattern = (endpoint, atMs) =>
  scatter(endpoint * 7_919 + Math.floor((atMs + endpoint * 37) / 600)) < 0.15
    ? 2.5
    : 1;

/** Two endpoints turn four times slower for half of the time. */
export const slowTurn: Pattern = (endpoint, atMs) =>
  endpoint < 2 && atMs >= 5_000 && atMs < 15_000 ? 4 : 1;

/** All of these at once. */
export const mixture: Pattern = (endpoint, atMs) =>
  unequalVms(endpoint, atMs) * disturbances(endpoint, atMs) *
  slowTurn(endpoint, atMs);
