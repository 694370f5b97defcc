import type { Crash } from "./trait_evidence.ts";

/** What nodes tell each other of a trait and an endpoint. */
export type CrashReport =
  /** The endpoint crashed while it ran a request with the trait. */
  | {
    kind: "crash";
    trait: string;
    /** Key of the endpoint. */
    endpoint: string;
    /** Time since the request was sent, milliseconds. */
    sentAgeMs: number;
    /** Time since the crash, milliseconds. */
    crashAgeMs: number;
    /** Whether the request was sent to try the trait. */
    isTrial: boolean;
  }
  /** That crash does not speak against the trait, since a request with it was
   * answered in full afterwards. */
  | { kind: "cleared"; trait: string; endpoint: string };

/** Reports a crash to other nodes, whose clocks differ. */
export function toCrashReport(
  trait: string,
  { endpoint, sentMs, crashedMs, isTrial }: Crash,
  nowMs: number,
): CrashReport {
  return {
    kind: "crash",
    trait,
    endpoint,
    sentAgeMs: nowMs - sentMs,
    crashAgeMs: nowMs - crashedMs,
    isTrial,
  };
}

/** Restores the crash that another node reports. */
export function toCrash(
  { endpoint, sentAgeMs, crashAgeMs, isTrial }: CrashReport & { kind: "crash" },
  nowMs: number,
): Crash {
  return {
    endpoint,
    sentMs: nowMs - sentAgeMs,
    crashedMs: nowMs - crashAgeMs,
    isTrial,
  };
}
