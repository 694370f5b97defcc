/**
 * Parses JSON from outside. Unlike the parser's own, the error quotes nothing
 * of the text, which may hold keys and ends up in logs.
 *
 * @throws Error saying that `what` is no JSON.
 */
export function parseJson(text: string, what: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new Error(`${what} is not JSON (${text.length} characters)`);
  }
}
