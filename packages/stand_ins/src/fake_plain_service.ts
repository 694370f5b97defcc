import { type Clock, sleep } from "@limpetshed/base";

/** What goes wrong with one call to the plain service stand-in. */
export type PlainServiceFault =
  | "none"
  | "die_before"
  | "die_after"
  | "refuse"
  | "slow";

/** One answer of the plain service stand-in. */
export interface PlainServiceResult {
  status: number;
  body: string;
  /** The call was refused without running. */
  notRun: boolean;
}

/** A booking or order service in miniature that counts what it executes. */
export class FakePlainService {
  readonly id: string;
  readonly #clock: Clock;
  readonly #processingMs: number;
  /** Executions by the caller's reference (header `x-reference`). */
  readonly executions = new Map<string, number>();
  /** Calls received, whether or not they were executed. */
  received = 0;
  inFlight = 0;
  completed = 0;
  down = false;
  draining = false;
  /** Chooses the fault of each call. */
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
   * Executes one call; rejects where the service dies, before or after the
   * call has taken effect.
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
