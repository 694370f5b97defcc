import { ManualClock, type Timer } from "@limpetshed/base";
import {
  type Endpoint,
  HedgePolicy,
  RetryBudget,
  type SendOutcome,
} from "@limpetshed/dispatch";
import type { RouteKind, RouteTable } from "@limpetshed/routing";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { RaceEntry, SentAttempt } from "../src/attempt_race.ts";
import { HedgedSender } from "../src/hedged_sender.ts";
import type { RelayObserver } from "../src/relay_observer.ts";
import { initialProgress, type RelayRequest } from "../src/relay_request.ts";
import type { ResponseWriter } from "../src/response_writer.ts";
import { RetryGuard } from "../src/retry_guard.ts";

/** What an endpoint does with a request. */
interface Script {
  ms: number;
  outcome?: SendOutcome;
  /** Time from which the response is passed on, milliseconds; its end by
   * default. */
  commitMs?: number;
}

const USUAL_MS = 50;

/** A fake service of endpoints e0, e1 ..., on a clock moved by the test. */
class FakeService {
  readonly clock = new ManualClock();
  readonly denied: string[] = [];
  readonly hedged: string[] = [];
  readonly sent: string[] = [];
  readonly ended: string[] = [];
  readonly tookMs: number[] = [];
  readonly policy: HedgePolicy;
  readonly sender: HedgedSender;
  isSuspected = false;
  hasRoom = true;
  #script: (attempt: number) => Script = () => ({ ms: USUAL_MS });
  #attempts = 0;

  constructor({ share = 0.05, budgetSlack = 1_000 } = {}) {
    const { clock } = this;
    this.policy = new HedgePolicy({ clock, share });
    const limits = { ratio: 0, slack: budgetSlack / 0.7, windowMs: 10_000 };
    const budget = new RetryBudget({ clock, limits, nodeCount: () => 1 });
    this.sender = new HedgedSender({
      clock,
      policy: this.policy,
      retryGuard: new RetryGuard({ budget, observer: {} as RelayObserver }),
      crashGuard: { isSuspected: () => this.isSuspected },
      observer: {
        hedged: (_request, { outcome }) => this.hedged.push(outcome),
        hedgeDenied: (_request, denial) => this.denied.push(denial),
      },
      chooser: {
        chooseSpare: ({ tried }) =>
          this.hasRoom ? chosen(tried.has("e1") ? "e2" : "e1") : undefined,
      },
      routeTable: () =>
        ({
          service: () => ({ name: "s" }),
          targetLatencyMs: () => 300,
        }) as unknown as RouteTable,
      runner: {
        start: (request, { endpoint: { key } }, { entry }) =>
          this.#start(request, key, entry),
      },
    });
  }

  /** Makes the times of requests and the credit known. */
  async warmUp(requests = 40): Promise<void> {
    for (let i = 0; i < requests; i++) {
      void this.send();
    }
    await this.clock.advance(USUAL_MS);
    this.sent.length = this.ended.length = this.tookMs.length = 0;
  }

  /** Sends a request whose attempts go as `scripts` say, in order. */
  async send(
    scripts: Script[] = [],
    { kind = "safe", maxAttempts = 2, leftMs = 5_000, received = 0, signal }: {
      kind?: RouteKind;
      maxAttempts?: number;
      leftMs?: number;
      received?: number;
      signal?: AbortSignal;
    } = {},
  ): Promise<SentAttempt> {
    this.#attempts = 0;
    this.#script = (attempt) => scripts[attempt] ?? { ms: USUAL_MS };
    this.policy.recordRequest("s");
    const request = {
      ...initialProgress(),
      receivedAttempts: received,
      service: "s",
      route: { name: "r", kind, maxAttempts, resumable: false },
      deadlineMs: this.clock.monotonicMs() + leftMs,
      signal: signal ?? new AbortController().signal,
    } as unknown as RelayRequest;
    const startMs = this.clock.monotonicMs();
    const sent = await this.sender.send(request, chosen("e0"), {
      writer: {} as ResponseWriter,
      framer: undefined,
    });
    this.tookMs.push(this.clock.monotonicMs() - startMs);
    return sent;
  }

  #start(request: RelayRequest, key: string, entry: RaceEntry) {
    const { ms, outcome = "delivered", commitMs = ms } = this.#script(
      this.#attempts++,
    );
    this.sent.push(key);
    const sentMs = outcome === "not_sent"
      ? undefined
      : this.clock.monotonicMs();
    const timers: Timer[] = [];
    let end: (outcome: SendOutcome) => void = () => undefined;
    const ended = new Promise<SentAttempt>((resolve) => {
      end = (outcome) => {
        timers.forEach((timer) => timer.cancel());
        entry.settle();
        this.ended.push(`${key} ${outcome}`);
        resolve({
          result: { outcome, sentMs, status: 200, rest: { state: "none" } },
          crashCheck: Promise.resolve(),
        });
        end = () => undefined;
      };
    });
    if (outcome === "delivered") {
      timers.push(this.clock.setTimer(commitMs, () => entry.commit()));
    }
    timers.push(this.clock.setTimer(ms, () => end(outcome)));
    request.signal.addEventListener("abort", () => end("lost"));
    return { ended, cancel: () => end("cancelled"), isAnswering: () => false };
  }
}

function chosen(key: string) {
  return { endpoint: { key } as Endpoint, candidates: 2 };
}

describe("HedgedSender", () => {
  const races: [string, Script[], string, string[]][] = [
    [
      "cancels a first send that is slower",
      [{ ms: 900 }, { ms: 30 }],
      "second_won",
      ["e0 cancelled", "e1 delivered"],
    ],
    [
      "cancels a second send that is slower, so that it answers nobody",
      [{ ms: 70 }, { ms: 71 }],
      "first_won",
      ["e1 cancelled", "e0 delivered"],
    ],
    [
      "lets only the one answer that began to be passed on",
      [{ ms: 900, commitMs: 60 }, { ms: 30 }],
      "first_won",
      ["e1 cancelled", "e0 delivered"],
    ],
    [
      "waits for the second send if the first fails meanwhile",
      [{ ms: 60, outcome: "lost" }, { ms: 30 }],
      "second_won",
      ["e0 lost", "e1 delivered"],
    ],
    [
      "waits for the first send if the second is refused",
      [{ ms: 90 }, { ms: 10, outcome: "rejected" }],
      "first_won",
      ["e1 rejected", "e0 delivered"],
    ],
    [
      "reports the failure that came last if both fail",
      [{ ms: 90, outcome: "lost" }, { ms: 10, outcome: "failed" }],
      "none_won",
      ["e1 failed", "e0 lost"],
    ],
  ];
  for (const [name, scripts, outcome, ended] of races) {
    it(name, async () => {
      const service = new FakeService();
      await service.warmUp();
      const sending = service.send(scripts);
      await service.clock.advance(2_000);
      const { result } = await sending;
      expect(service.hedged).to.deep.equal([outcome]);
      expect(service.ended).to.deep.equal(ended);
      expect(result.outcome).to.equal(ended.at(-1)!.split(" ")[1]);
    });
  }

  it("sends once if the first send fails before it is slow", async () => {
    const service = new FakeService();
    await service.warmUp();
    void service.send([{ ms: 40, outcome: "lost" }]);
    await service.clock.advance(2_000);
    expect(service.sent).to.deep.equal(["e0"]);
  });

  for (const reason of ["caller_gone", "time_over", "node_stopping"]) {
    it(`ends both on ${reason}`, async () => {
      const service = new FakeService();
      await service.warmUp();
      const controller = new AbortController();
      const { signal } = controller;
      const sending = service.send([{ ms: 900 }, { ms: 900 }], { signal });
      await service.clock.advance(100);
      controller.abort(reason);
      expect((await sending).result.outcome).to.equal("lost");
      expect(service.ended).to.deep.equal(["e0 lost", "e1 lost"]);
      expect(service.hedged).to.deep.equal(["none_won"]);
    });
  }

  it("keeps share and budget for a second send that reached no endpoint", async () => {
    const service = new FakeService({ budgetSlack: 1 });
    await service.warmUp();
    for (const outcome of ["not_sent", "delivered"] as const) {
      const sending = service.send([{ ms: 300 }, { ms: 10, outcome }]);
      await service.clock.advance(400);
      await sending;
    }
    expect(service.hedged).to.deep.equal(["first_won", "second_won"]);
  });

  const denials: [string, (service: FakeService) => void, number?][] = [
    ["no_time", () => undefined, 90],
    ["crash_suspect", (service) => {
      service.isSuspected = true;
    }],
    ["share_used", ({ policy }) => {
      while (policy.tryTake("s"));
    }],
    ["budget_used", () => undefined],
    ["no_room", (service) => {
      service.hasRoom = false;
    }],
  ];
  for (const [denial, prepare, leftMs] of denials) {
    it(`does not send twice: ${denial}`, async () => {
      const service = new FakeService({
        budgetSlack: denial === "budget_used" ? 0.5 : 1,
      });
      await service.warmUp();
      prepare(service);
      void service.send([{ ms: 300 }], { leftMs });
      await service.clock.advance(2_000);
      expect(service.denied).to.deep.equal([denial]);
      expect(service.sent).to.deep.equal(["e0"]);
    });
  }

  const once: [string, Parameters<FakeService["send"]>[1], number?][] = [
    ["an unsafe request", { kind: "unsafe" }],
    ["a stream", { kind: "stream" }],
    ["a request of a route with one attempt", { maxAttempts: 1 }],
    ["a retry", { received: 1 }],
    ["any request by default", {}, 0],
  ];
  for (const [name, options, share] of once) {
    it(`never sends twice ${name}`, async () => {
      const service = new FakeService({ share });
      await service.warmUp();
      void service.send([{ ms: 900 }], options);
      await service.clock.advance(2_000);
      expect(service.sent).to.deep.equal(["e0"]);
      expect(service.denied).to.deep.equal([]);
    });
  }

  /** Sends 1,000 requests, 60 ms apart; every `slowEach`th first attempt and
   * each second one of them, if `isAll`, takes a second. */
  async function play(
    share: number,
    { slowEach, isAll = false }: { slowEach: number; isAll?: boolean },
  ) {
    const service = new FakeService({ share });
    await service.warmUp();
    for (let i = 1; i <= 1_000; i++) {
      const ms = i % slowEach === 0 ? 1_000 : USUAL_MS;
      void service.send([{ ms }, { ms: isAll ? 1_000 : USUAL_MS }]);
      await service.clock.advance(60);
    }
    await service.clock.advance(2_000);
    const sorted = service.tookMs.sort((a, b) => a - b);
    return { p99Ms: sorted[989]!, hedges: service.hedged.length, service };
  }

  it("cuts the slowest answers of an endpoint, within the share", async () => {
    // One of three endpoints is slow with a tenth of its requests.
    const off = await play(0, { slowEach: 30 });
    const on = await play(0.05, { slowEach: 30 });
    expect(off.p99Ms).to.equal(1_000);
    expect(on.p99Ms).to.be.below(200);
    expect(on.hedges).to.be.within(30, 50);
  });

  it("causes no storm when all endpoints turn slow at once", async () => {
    const { hedges, service } = await play(0.05, { slowEach: 1, isAll: true });
    // 1,040 requests, and two second sends that were saved up.
    expect(hedges).to.be.within(1, 52);
    expect(service.denied).to.include("share_used");
  });
});
