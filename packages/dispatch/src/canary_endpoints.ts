import type { Endpoint } from "./endpoint_registry.ts";

/** Endpoints that requests go to at least, so that some in trouble of their own can
 * be told from a bad version. */
const MIN_ENDPOINTS = 6;

/** Keys of a part of the target's endpoints, the same ones at all nodes: so few that
 * the load of a few requests shows something. */
export function canaryKeys(
  targets: readonly Endpoint[],
  part: number,
): ReadonlySet<string> {
  const count = Math.max(MIN_ENDPOINTS, Math.ceil(part * targets.length));
  const step = Math.max(1, targets.length / count);
  const keys = new Set<string>();
  for (let place = 0; place < targets.length; place += step) {
    keys.add(targets[Math.floor(place)]!.key);
  }
  return keys;
}
