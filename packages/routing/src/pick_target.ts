import type { RouteTarget } from "./routing_config.ts";

/**
 * Picks the service of a request by the targets' weights. `fraction` is in
 * `[0, 1)`; the same fraction gives the same service.
 */
export function pickTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = fraction * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  return targets.at(-1)?.service;
}
