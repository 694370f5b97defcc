import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { AccountLoads } from "../src/account_loads.ts";
import { type Endpoint, EndpointRegistry } from "../src/endpoint_registry.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { OverloadGuard } from "../src/overload_guard.ts";
import { ServiceLatency } from "../src/service_latency.ts";
import { entry, ready } from "./fixtures.ts";

const SERVICE = "model";
const SLOTS = 8;
const ENDPOINTS = 4;
const TARGET_MS = 300;
const LEFT_MS = 3_000;
/** Each request works between half and three halves of this. */
const WORK_MS = 400;
const CAPACITY_PER_MS = ENDPOINTS * SLOTS / WORK_MS;
const SPAN_MS = 20_000;

interface Arrival {
  account: string;
  priority: number;
  atMs: number;
  workMs: number;
}

interface Tally {
  asked: number;
  refused: number;
  inTime: number;
}

/** An engine with a queue: first come, first served. */
class Engine {
  readonly #waiting: { arrival: Arrival; start: () => void }[] = [];
  #running = 0;

  constructor(readonly endpoint: Endpoint) {}

  /** `onEnd` is told how long the request waited for a place. */
  take(
    clock: ManualClock,
    arrival: Arrival,
    onEnd: (waitedMs: number) => void,
  ): void {
    const start = () => {
      this.#running += 1;
      const waitedMs = clock.monotonicMs() - arrival.atMs;
      clock.setTimer(arrival.workMs, () => {
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

interface Load {
  /** Multiple of what the engines can do. */
  multiple: number;
  /** Draws the account and the rank of a request. */
  draw: (rng: Rng) => { account: string; priority: number };
  guarded?: boolean;
}

/** Plays the load; the tally by what `groupOf` says. */
async function play(
  { multiple, draw, guarded = true }: Load,
  groupOf: (arrival: Arrival) => string,
): Promise<Record<string, Tally>> {
  const clock = new ManualClock();
  const rng = new Rng(7);
  const registry = new EndpointRegistry({ clock });
  const engines = Array.from(
    { length: ENDPOINTS },
    (_, at) => new Engine(registry.put(entry(`e${at}`, { slots: SLOTS }))),
  );
  const board = new LoadTracker({ clock });
  const pace = new ServiceLatency();
  const accounts = new AccountLoads();
  const guard = new OverloadGuard({ loads: board, latency: pace, accounts });
  const tallies: Record<string, Tally> = {};
  const arrive = (arrival: Arrival) => {
    const tally = tallies[groupOf(arrival)] ??= {
      asked: 0,
      refused: 0,
      inTime: 0,
    };
    tally.asked += 1;
    const admission = guard.admit({
      service: SERVICE,
      account: arrival.account,
      priority: arrival.priority,
      targetLatencyMs: TARGET_MS,
      leftMs: LEFT_MS,
      candidates: registry.usable(SERVICE),
    });
    if (guarded && "refusal" in admission) {
      tally.refused += 1;
      return;
    }
    const loadOf = ({ endpoint }: Engine) => board.totalInFlight(endpoint.key);
    const engine = engines.reduce((best, next) =>
      loadOf(next) < loadOf(best) ? next : best
    );
    board.begin(engine.endpoint.key);
    accounts.begin(SERVICE, arrival.account);
    engine.take(clock, arrival, (waitedMs) => {
      board.end(engine.endpoint.key);
      accounts.end(SERVICE, arrival.account);
      pace.record(SERVICE, waitedMs + arrival.workMs);
      tally.inTime += waitedMs <= TARGET_MS ? 1 : 0;
    });
  };
  const gapMs = 1 / (CAPACITY_PER_MS * multiple);
  for (let atMs = 0; atMs < SPAN_MS; atMs += gapMs * 2 * rng.fraction()) {
    await clock.advance(Math.max(0, atMs - clock.monotonicMs()));
    const workMs = WORK_MS * (0.5 + rng.fraction());
    arrive({ ...draw(rng), atMs: clock.monotonicMs(), workMs });
  }
  await clock.advance(SPAN_MS);
  return tallies;
}

const evenly = (rng: Rng) => ({
  account: `a${rng.int(5)}`,
  priority: rng.int(3),
});

/** One account asks for eight times what each of four others does. */
const surge = (rng: Rng) => {
  const drawn = rng.int(12);
  return { account: drawn < 8 ? "hot" : `a${drawn}`, priority: 0 };
};

const sum = (tallies: Record<string, Tally>, field: keyof Tally) =>
  Object.values(tallies).reduce((total, tally) => total + tally[field], 0);

describe("OverloadGuard", function () {
  this.timeout(20_000);
  before(() => ready);

  it("refuses nothing while the engines have places", async () => {
    const tallies = await play({ multiple: 0.7, draw: evenly }, () => "all");
    expect(tallies["all"]!.refused).to.equal(0);
    expect(tallies["all"]!.inTime).to.equal(tallies["all"]!.asked);
  });

  it("serves what the engines can do in time when half more is asked", async () => {
    const load = { multiple: 1.5, draw: evenly };
    const possible = CAPACITY_PER_MS * SPAN_MS;
    const guarded = await play(load, () => "all");
    const unguarded = await play({ ...load, guarded: false }, () => "all");
    expect(sum(guarded, "inTime")).to.be.above(0.9 * possible);
    expect(sum(unguarded, "inTime")).to.be.below(0.3 * possible);
  });

  it("refuses the less urgent first", async () => {
    const load = { multiple: 1.5, draw: evenly };
    const tallies = await play(load, ({ priority }) => String(priority));
    const served = ["0", "1", "2"].map((rank) =>
      1 - tallies[rank]!.refused / tallies[rank]!.asked
    );
    expect(served[0]).to.be.above(served[1]!);
    expect(served[1]).to.be.above(served[2]!);
  });

  it("keeps one account's surge from what others need", async () => {
    const load = { multiple: 2, draw: surge };
    const tallies = await play(
      load,
      ({ account }) => account === "hot" ? "hot" : "others",
    );
    const { hot, others } = tallies;
    expect(others!.inTime / others!.asked).to.be.above(0.95);
    expect(hot!.inTime).to.be.above(0);
  });
});

describe("AccountLoads", () => {
  it("leaves places that nobody else wants to whoever asks", () => {
    const accounts = new AccountLoads();
    for (let at = 0; at < 50; at += 1) {
      expect(accounts.isAboveShare(SERVICE, "only")).to.equal(false);
      accounts.begin(SERVICE, "only");
    }
    expect(accounts.isAboveShare(SERVICE, "other")).to.equal(false);
    accounts.begin(SERVICE, "other");
    expect(accounts.isAboveShare(SERVICE, "only")).to.equal(true);
  });

  it("forgets what has ended", () => {
    const accounts = new AccountLoads();
    for (let at = 0; at < 20; at += 1) {
      accounts.begin(SERVICE, "a");
      accounts.begin(SERVICE, "b");
    }
    for (let at = 0; at < 20; at += 1) {
      accounts.end(SERVICE, "a");
    }
    expect(accounts.isAboveShare(SERVICE, "a")).to.equal(false);
    expect(accounts.isAboveShare(SERVICE, "b")).to.equal(false);
  });
});
