/**
 * Parses JSON from an untrusted source. Unlike the error of `JSON.parse`, the
 * error does not quote the text, because it is logged and the text may contain
 * keys.
 *
 * @throws Error stating that `what` is not JSON.
 */
export function parseJson(text: string, what: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new Error(`${what} is not JSON (${text.length} characters)`);
  }
}
