/** Receives every broken invariant. */
export type InvariantListener = (
  name: string,
  details: Record<string, unknown>,
) => void;

let listener: InvariantListener = (name, details) => {
  throw new Error(`invariant ${name}: ${JSON.stringify(details)}`);
};

/** Sets what happens on a broken invariant; the default throws. */
export function onInvariantBroken(next: InvariantListener): void {
  listener = next;
}

/**
 * States that `condition` holds. Always evaluated, in production too, where
 * the listener counts and logs; under test it throws.
 */
export function invariant(
  name: string,
  condition: boolean,
  details: Record<string, unknown> = {},
): void {
  if (!condition) {
    listener(name, details);
  }
}
