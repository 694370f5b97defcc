import type { LoadReport } from "@limpetshed/endpoint";
import type { PlainEngine } from "./plain_engine.ts";

const LONG_IN_SERVICE = 1_000_000;

/** Load report of a plain service; it has no cold start. */
export function plainReport(engine: PlainEngine): LoadReport {
  return {
    bootId: engine.id,
    state: engine.draining ? "draining" : "ready",
    inFlight: engine.inFlight,
    completed: LONG_IN_SERVICE + engine.completed,
    loaded: { model: "", version: "", adapters: [], role: "serve" },
    fencingNumber: 0,
    cacheEvents: [],
  };
}
