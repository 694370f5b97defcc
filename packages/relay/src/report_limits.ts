import type { SendAttemptOptions } from "./send_attempt_options.ts";
import type { ResponseMetadata } from "./wire_format.ts";

const FIRST_ERROR_STATUS = 400;

/** Reports what a response to its request says of the limits of its endpoint.
 * `sentMs` is the monotonic time at which the request was sent. */
export function reportLimits(
  metadata: ResponseMetadata,
  { onLimit, onBrittleness, status, sentMs }:
    & Pick<SendAttemptOptions, "onLimit" | "onBrittleness">
    & { status: number; sentMs: number },
): void {
  const { isMisdirected, isSigned, isNotRun, limit, brittleness } = metadata;
  if (!isMisdirected && (isSigned || isNotRun)) {
    const isServed = !isNotRun && status < FIRST_ERROR_STATUS;
    onLimit(limit, { sentMs, isServed });
    onBrittleness(brittleness, { isRejected: isNotRun });
  }
}
