/** What goes wrong with one call to the key-value stand-in. */
export type KvFault =
  | "none"
  /** Refused at once; no effect. */
  | "down"
  /** Takes effect; the answer is lost. */
  | "answer_lost"
  /** The answer is lost, and the write takes effect only later. */
  | "late_effect"
  /** Refused by the rate limit; no effect. */
  | "rate_limited";

/** Faults of the key-value stand-in; set the fields to bring them about. */
export interface KvFaults {
  /** Every call fails, watches break. */
  down: boolean;
  /** Each call waits this long first. */
  delayMs: number;
  /** How long a late effect waits. */
  lateEffectDelayMs: number;
  /** Chooses the fault of each call; called with `write` or `read`. */
  choose: (call: "read" | "write") => KvFault;
}

/** Faults that never happen. */
export function noKvFaults(): KvFaults {
  return {
    down: false,
    delayMs: 0,
    lateEffectDelayMs: 500,
    choose: () => "none",
  };
}
