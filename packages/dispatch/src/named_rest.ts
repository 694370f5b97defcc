/** What a refusal says of the time in which its endpoint wants no request of this
 * node. */
export type NamedRest =
  /** It names none. */
  | { state: "none" }
  /** Milliseconds from the response on. */
  | { state: "named"; restMs: number }
  /** Its value is not a valid one. */
  | { state: "malformed" };
