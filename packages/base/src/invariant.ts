/** Called for every violated invariant. */
export type InvariantHandler = (
  name: string,
  details: Record<string, unknown>,
) => void;

let handler: InvariantHandler = (name, details) => {
  throw new Error(`invariant ${name}: ${JSON.stringify(details)}`);
};

/** Replaces the handler of violated invariants; the default one throws. */
export function setInvariantHandler(newHandler: InvariantHandler): void {
  handler = newHandler;
}

/**
 * Asserts that `condition` holds. Also enabled in production, where the handler
 * counts and logs violations; in tests it throws.
 */
export function invariant(
  name: string,
  condition: boolean,
  details: Record<string, unknown> = {},
): void {
  if (!condition) {
    handler(name, details);
  }
}
