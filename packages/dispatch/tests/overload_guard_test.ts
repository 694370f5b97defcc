import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { AccountLoads } from "../src/account_loads.ts";
import { type Endpoint, EndpointRegistry } from "../src/endpoint_registry.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { OverloadGuard } from "../src/overload_guard.ts";
import { ServiceLatency } from "../src/service_latency.ts";
import { entry, hashingReady } from "./fixtures.ts";

const SERVICE = "model";
const SLOTS = 8;
const ENDPOINTS = 4;
const TARGET_MS = 300;
const REMAINING_MS = 3_000;
/** Requests take between 0.5 and 1.5 times this to execute. */
const EXECUTION_MS = 400;
const CAPACITY_PER_MS = ENDPOINTS * SLOTS / EXECUTION_MS;
const DURATION_MS = 20_000;

interface Arrival {
  account: string;
  priority: number;
  atMs: number;
  executionMs: number;
}

interface Counts {
  received: number;
  refused: number;
  inTime: number;
}

/** Simulates an endpoint with a FIFO queue. */
class SimulatedEndpoint {
  readonly #waiting: { arrival: Arrival; start: () => void }[] = [];
  #running = 0;

  constructor(readonly endpoint: Endpoint) {}

  /** Executes the request once a slot is free; calls `onEnd` with the time that
   * it waited. */
  enqueue(
    clock: ManualClock,
    arrival: Arrival,
    onEnd: (waitedMs: number) => void,
  ): void {
    const start = () => {
      this.#running += 1;
      const waitedMs = clock.monotonicMs() - arrival.atMs;
      clock.setTimer(arrival.executionMs, () => {
        this.#running -= 1;
        this.#waiting.shift()?.start();
        onEnd(waitedMs);
      });
    };
    if (this.#running < SLOTS) {
      start();
    } else {
      this.#waiting.push({ arrival, start });
    }
  }
}

interface Workload {
  /** Request rate as a multiple of the capacity. */
  capacityMultiple: number;
  /** Draws the account and the priority of a request. */
  draw: (rng: Rng) => { account: string; priority: number };
  isGuarded?: boolean;
}

/** Simulates the workload; returns counts per group. */
async function simulate(
  { capacityMultiple, draw, isGuarded = true }: Workload,
  groupOf: (arrival: Arrival) => string,
): Promise<Record<string, Counts>> {
  const clock = new ManualClock();
  const rng = new Rng(7);
  const registry = new EndpointRegistry({ clock });
  const endpoints = Array.from(
    { length: ENDPOINTS },
    (_, index) =>
      new SimulatedEndpoint(registry.put(entry(`e${index}`, { slots: SLOTS }))),
  );
  const loads = new LoadTracker({ clock });
  const latency = new ServiceLatency();
  const accounts = new AccountLoads();
  const guard = new OverloadGuard({ loads, latency, accounts });
  const countsByGroup: Record<string, Counts> = {};
  const arrive = (arrival: Arrival) => {
    const counts = countsByGroup[groupOf(arrival)] ??= {
      received: 0,
      refused: 0,
      inTime: 0,
    };
    counts.received += 1;
    const admission = guard.admit({
      service: SERVICE,
      account: arrival.account,
      priority: arrival.priority,
      targetLatencyMs: TARGET_MS,
      leftMs: REMAINING_MS,
      candidates: registry.usable(SERVICE),
    });
    if (isGuarded && "refusal" in admission) {
      counts.refused += 1;
      return;
    }
    const loadOf = ({ endpoint }: SimulatedEndpoint) =>
      loads.totalInFlight(endpoint.key);
    const target = endpoints.reduce((best, next) =>
      loadOf(next) < loadOf(best) ? next : best
    );
    loads.begin(target.endpoint.key);
    accounts.begin(SERVICE, arrival.account);
    target.enqueue(clock, arrival, (waitedMs) => {
      loads.end(target.endpoint.key);
      accounts.end(SERVICE, arrival.account);
      latency.record(SERVICE, waitedMs + arrival.executionMs);
      counts.inTime += waitedMs <= TARGET_MS ? 1 : 0;
    });
  };
  const meanIntervalMs = 1 / (CAPACITY_PER_MS * capacityMultiple);
  for (
    let atMs = 0;
    atMs < DURATION_MS;
    atMs += meanIntervalMs * 2 * rng.fraction()
  ) {
    await clock.advance(Math.max(0, atMs - clock.monotonicMs()));
    const executionMs = EXECUTION_MS * (0.5 + rng.fraction());
    arrive({ ...draw(rng), atMs: clock.monotonicMs(), executionMs });
  }
  await clock.advance(DURATION_MS);
  return countsByGroup;
}

const uniform = (rng: Rng) => ({
  account: `a${rng.int(5)}`,
  priority: rng.int(3),
});

/** One account sends eight times as much as each of four others. */
const surge = (rng: Rng) => {
  const drawn = rng.int(12);
  return { account: drawn < 8 ? "hot" : `a${drawn}`, priority: 0 };
};

const sum = (countsByGroup: Record<string, Counts>, field: keyof Counts) =>
  Object.values(countsByGroup).reduce(
    (total, counts) => total + counts[field],
    0,
  );

describe("OverloadGuard", function () {
  this.timeout(20_000);
  before(() => hashingReady);

  it("refuses nothing below capacity", async () => {
    const countsByGroup = await simulate(
      { capacityMultiple: 0.7, draw: uniform },
      () => "all",
    );
    expect(countsByGroup["all"]!.refused).to.equal(0);
    expect(countsByGroup["all"]!.inTime).to.equal(
      countsByGroup["all"]!.received,
    );
  });

  it("serves the full capacity in time at 1.5 times the capacity", async () => {
    const workload = { capacityMultiple: 1.5, draw: uniform };
    const possible = CAPACITY_PER_MS * DURATION_MS;
    const guarded = await simulate(workload, () => "all");
    const unguarded = await simulate(
      { ...workload, isGuarded: false },
      () => "all",
    );
    expect(sum(guarded, "inTime")).to.be.above(0.9 * possible);
    expect(sum(unguarded, "inTime")).to.be.below(0.3 * possible);
  });

  it("refuses less urgent requests first", async () => {
    const workload = { capacityMultiple: 1.5, draw: uniform };
    const countsByGroup = await simulate(
      workload,
      ({ priority }) => String(priority),
    );
    const served = ["0", "1", "2"].map((priority) =>
      1 - countsByGroup[priority]!.refused / countsByGroup[priority]!.received
    );
    expect(served[0]).to.be.above(served[1]!);
    expect(served[1]).to.be.above(served[2]!);
  });

  it("protects other accounts from the surge of one account", async () => {
    const workload = { capacityMultiple: 2, draw: surge };
    const countsByGroup = await simulate(
      workload,
      ({ account }) => account === "hot" ? "hot" : "others",
    );
    const { hot, others } = countsByGroup;
    expect(others!.inTime / others!.received).to.be.above(0.95);
    expect(hot!.inTime).to.be.above(0);
  });
});

describe("AccountLoads", () => {
  it("limits an account only while other accounts have requests", () => {
    const accounts = new AccountLoads();
    for (let index = 0; index < 50; index += 1) {
      expect(accounts.isAboveShare(SERVICE, "only")).to.equal(false);
      accounts.begin(SERVICE, "only");
    }
    expect(accounts.isAboveShare(SERVICE, "other")).to.equal(false);
    accounts.begin(SERVICE, "other");
    expect(accounts.isAboveShare(SERVICE, "only")).to.equal(true);
  });

  it("does not count completed requests", () => {
    const accounts = new AccountLoads();
    for (let index = 0; index < 20; index += 1) {
      accounts.begin(SERVICE, "a");
      accounts.begin(SERVICE, "b");
    }
    for (let index = 0; index < 20; index += 1) {
      accounts.end(SERVICE, "a");
    }
    expect(accounts.isAboveShare(SERVICE, "a")).to.equal(false);
    expect(accounts.isAboveShare(SERVICE, "b")).to.equal(false);
  });
});
