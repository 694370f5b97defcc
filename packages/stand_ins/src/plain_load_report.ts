import type { LoadReport } from "@limpetshed/endpoint";
import type { FakePlainService } from "./fake_plain_service.ts";

const WARM_COMPLETED_COUNT = 1_000_000;

/**
 * Builds the load report of a plain service. Its completed count starts high,
 * because the service has no cold start.
 */
export function plainLoadReport(engine: FakePlainService): LoadReport {
  return {
    bootId: engine.id,
    state: engine.draining ? "draining" : "ready",
    inFlight: engine.inFlight,
    completed: WARM_COMPLETED_COUNT + engine.completed,
    loaded: { model: "", version: "", adapters: [], role: "serve" },
    fencingNumber: 0,
    cacheEvents: [],
  };
}
