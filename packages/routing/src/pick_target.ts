import type { RouteTarget } from "./routing_config.ts";

/**
 * Picks a service by the weights of the targets. `fraction` is in `[0, 1)`; the
 * same fraction always picks the same service. If all weights are 0, the last
 * service is picked; without targets the result is undefined.
 */
export function pickTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return targets.at(-1)?.service;
}
