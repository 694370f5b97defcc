import type { Clock } from "@limpetshed/base";
import type { Endpoint } from "@limpetshed/dispatch";
import { filterHeaders, hopByHopHeaders } from "./hop_by_hop_headers.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of {@linkcode outgoingHeaders}. */
export interface OutgoingHeadersOptions {
  clock: Clock;
  format: WireFormat;
  request: RelayRequest;
  endpoint: Endpoint;
  /** Endpoint to copy cached parts of the prompt from. */
  copyFrom: Endpoint | undefined;
  /** Id of the event to resume the stream after, if it has begun. */
  lastEventId: string | undefined;
}

/** The headers of a request to an endpoint, names and values alternating: the
 * client's, and those that this node sets. */
export function outgoingHeaders(
  { clock, format, request, endpoint, copyFrom, lastEventId }:
    OutgoingHeadersOptions,
): string[] {
  const metadata = {
    timeLeftMs: Math.max(
      1,
      Math.floor(request.deadlineMs - clock.monotonicMs()),
    ),
    endpointId: endpoint.entry.id,
    account: request.account,
    copyFrom: copyFrom?.entry.address,
    lastEventId,
  };
  const hopByHop = hopByHopHeaders(request.connectionHeader);
  const kept = filterHeaders(
    request.rawHeaders,
    (name) =>
      !hopByHop.has(name) && name !== "content-length" && name !== "expect" &&
      !format.isReserved(name) && !format.isReplaced(name, metadata),
  );
  return [...kept, ...format.requestHeaders(metadata)];
}
