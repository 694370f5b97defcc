/** Fault injected into one call to the simulated key-value service. */
export type KvFault =
  | "none"
  /** Rejected immediately, without effect. */
  | "down"
  /** Applied, but the response is lost. */
  | "answer_lost"
  /** The response is lost, and the write is applied after a delay. */
  | "late_effect"
  /** Rejected by the rate limit, without effect. */
  | "rate_limited";

/** Fault injection settings; changes apply to subsequent calls. */
export interface KvFaults {
  /** All calls fail while true, and open watches deliver no changes. */
  down: boolean;
  /** Delay before each call except a watch, in milliseconds. */
  delayMs: number;
  /** Delay before a `late_effect` write is applied, in milliseconds. */
  lateEffectDelayMs: number;
  /** Selects the fault of each call. */
  choose: (kind: "read" | "write") => KvFault;
}

/** Settings that inject no faults. */
export function noKvFaults(): KvFaults {
  return {
    down: false,
    delayMs: 0,
    lateEffectDelayMs: 500,
    choose: () => "none",
  };
}
