import { eventHandler, type Router } from "h3";
import type { FleetNode } from "./fleet_node.ts";

/**
 * Adds the load balancer's health checks: `/healthz` (liveness) and `/readyz`
 * (readiness).
 */
export function addHealthRoutes(
  router: Router,
  { node }: { node: FleetNode },
): void {
  router.get("/healthz", eventHandler(() => "ok\n"));
  router.get(
    "/readyz",
    eventHandler((event) => {
      event.node.res.statusCode = node.ready ? 200 : 503;
      return node.ready ? "ready\n" : "not ready\n";
    }),
  );
}
