import type { Clock } from "@limpetshed/base";
import type { ChoiceRequest } from "@limpetshed/dispatch";
import type { RouteTable } from "@limpetshed/routing";
import { type RelayRequest, requiredVersion } from "./relay_request.ts";

/** What the choice of an endpoint for `request` depends on; undefined if its service
 * is not configured. */
export function choiceRequest(
  request: RelayRequest,
  { table, clock }: { table: RouteTable | undefined; clock: Clock },
): ChoiceRequest | undefined {
  const spec = table?.service(request.service);
  return table === undefined || spec === undefined ? undefined : {
    spec,
    prompt: request.prompt,
    tried: request.tried,
    version: requiredVersion(request),
    overloadInput: {
      account: request.account,
      priority: request.priority,
      targetLatencyMs: table.targetLatencyMs(request.service),
      leftMs: request.deadlineMs - clock.monotonicMs(),
    },
  };
}
