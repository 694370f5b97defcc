import { EndpointError } from "@limpetshed/endpoint";
import type { AssignmentOutcome } from "@limpetshed/placement";

/** How a failed call ended, as its endpoint's owner is told. */
export function outcomeOf(err: unknown): AssignmentOutcome {
  if (!(err instanceof EndpointError)) {
    return "failed";
  }
  if (err.kind === "endpoint_unreachable") {
    return "not_sent";
  }
  return err.connectionLost ? "connection_lost" : "failed";
}
