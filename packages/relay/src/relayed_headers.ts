import type { ResponseHead } from "./endpoint_connection.ts";
import { filterHeaders, hopByHopHeaders } from "./hop_by_hop_headers.ts";
import type { WireFormat } from "./wire_format.ts";

/** Headers of an endpoint's response that are passed on to the client, names and
 * values alternating; without `content-length` if `dropsLength`. */
export function relayedHeaders(
  { headers, rawHeaders }: ResponseHead,
  { format, dropsLength }: { format: WireFormat; dropsLength: boolean },
): string[] {
  const dropped = hopByHopHeaders(headers.connection);
  if (dropsLength) {
    dropped.add("content-length");
  }
  return filterHeaders(
    rawHeaders,
    (name) => !dropped.has(name) && !format.isForNodes(name),
  );
}
