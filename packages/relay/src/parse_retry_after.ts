import type { NamedRest } from "@limpetshed/dispatch";

const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
/** The preferred format of RFC 9110, section 5.6.7. */
const DATE_PATTERN =
  /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;
const MAX_CHARACTERS = 40;
const MS_PER_SECOND = 1_000;

/**
 * Parses `retry-after` of RFC 9110, section 10.2.3: seconds, which may have a
 * fraction, or a date. `date` is the date of the same response, against which a
 * date is held, since the clocks of endpoint and node may differ. Repeated headers
 * are an array.
 */
export function parseRetryAfter(
  text: string | string[] | undefined,
  { date }: { date?: string | undefined },
): NamedRest {
  if (text === undefined) {
    return { state: "none" };
  }
  if (typeof text !== "string" || text.length > MAX_CHARACTERS) {
    return { state: "malformed" };
  }
  if (SECONDS_PATTERN.test(text)) {
    return { state: "named", restMs: Number(text) * MS_PER_SECOND };
  }
  const restMs = parseDate(text) - parseDate(date);
  return Number.isNaN(restMs)
    ? { state: "malformed" }
    : { state: "named", restMs: Math.max(0, restMs) };
}

function parseDate(text = ""): number {
  return DATE_PATTERN.test(text) ? Date.parse(text) : Number.NaN;
}
