import { type Clock, sleep } from "@limpetshed/base";

/** Fault injected into one call to the simulated service. */
export type PlainServiceFault =
  | "none"
  | "die_before"
  | "die_after"
  | "refuse"
  | "slow";

/** Response of the simulated service. */
export interface PlainServiceResult {
  status: number;
  body: string;
  /** Whether the call was refused before execution. */
  notRun: boolean;
}

/**
 * Simulates a plain HTTP service, such as booking, and counts the executions
 * of each call.
 */
export class FakePlainService {
  readonly id: string;
  readonly #clock: Clock;
  readonly #processingMs: number;
  /** Number of executions by reference (header `x-reference`). */
  readonly executions = new Map<string, number>();
  /** Number of calls received, executed or not. */
  received = 0;
  inFlight = 0;
  completed = 0;
  down = false;
  draining = false;
  /** Selects the fault of each call. */
  chooseFault: () => PlainServiceFault = () => "none";

  constructor({ id, clock, workMs = 5 }: {
    id: string;
    clock: Clock;
    workMs?: number;
  }) {
    this.id = id;
    this.#clock = clock;
    this.#processingMs = workMs;
  }

  /**
   * Executes one call. Rejects if the connection is lost, before execution
   * (`die_before`) or after it (`die_after`).
   */
  async call(reference: string): Promise<PlainServiceResult> {
    this.received += 1;
    const fault = this.down ? "die_before" : this.chooseFault();
    if (fault === "refuse") {
      return { status: 503, body: '{"refused":true}', notRun: true };
    }
    if (fault === "die_before") {
      throw new Error("connection lost");
    }
    this.inFlight += 1;
    try {
      await sleep(
        this.#clock,
        this.#processingMs * (fault === "slow" ? 100 : 1),
      );
      const count = (this.executions.get(reference) ?? 0) + 1;
      this.executions.set(reference, count);
      this.completed += 1;
    } finally {
      this.inFlight -= 1;
    }
    if (fault === "die_after") {
      throw new Error("connection lost");
    }
    const body = JSON.stringify({ reference, served_by: this.id });
    return { status: 200, body, notRun: false };
  }
}
