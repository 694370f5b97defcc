import { EndpointError } from "@limpetshed/endpoint";
import type { AssignmentOutcome } from "@limpetshed/placement";

/** Maps a failed call's error to the outcome reported to the endpoint's owner. */
export function failureOutcome(err: unknown): AssignmentOutcome {
  if (!(err instanceof EndpointError)) {
    return "failed";
  }
  if (err.kind === "endpoint_unreachable") {
    return "not_sent";
  }
  return err.connectionLost ? "connection_lost" : "failed";
}
