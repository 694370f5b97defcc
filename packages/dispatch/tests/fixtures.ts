import { initHashing } from "@limpetshed/hashing";
import type { ServiceSpec } from "@limpetshed/routing";
import type { EndpointEntry } from "../src/endpoint_entry.ts";
import type { PromptInfo } from "../src/prompt_info.ts";

/** Resolves when the hashing module is loaded. */
export const hashingReady = initHashing();

/** Creates an endpoint entry. */
export function entry(
  id: string,
  fields: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id,
    service: "model",
    address: `10.0.0.1:${8_000 + Number(id.replace(/\D/g, "") || 0)}`,
    availabilityZone: "a",
    slots: 128,
    state: "ready",
    coldMs: 0,
    startedMs: 1,
    ...fields,
  };
}

/** Creates a service specification. */
export function spec(fields: Partial<ServiceSpec> = {}): ServiceSpec {
  return {
    name: "model",
    maxConnections: 600,
    coldRequestsPerS: 24,
    cacheTokens: 900_000,
    ...fields,
  };
}

/** Creates a prompt with a long shared text and a part specific to the
 * request. */
export function prompt(sharedId: string, ownId = "own"): PromptInfo {
  return {
    model: "m",
    promptTokens: 11_500,
    maxOutputTokens: 400,
    parts: [
      { id: "system", tokens: 500 },
      { id: sharedId, tokens: 10_000 },
      { id: ownId, tokens: 1_000 },
    ],
  };
}
