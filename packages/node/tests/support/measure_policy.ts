import { Rng } from "@limpetshed/hashing";
import type { Settings } from "@limpetshed/settings";
import { type RequestResult, TestFleet } from "./test_fleet.ts";

/** Placement policies that can be measured. */
export type Policy = Settings["routing"]["policy"];

/** Change to the endpoints in the second phase of a run. */
export type Churn = "calm" | "endpoints" | "zone";

/** Measurements of one run. */
export interface PolicyMeasurement {
  policy: Policy;
  churn: Churn;
  seed: number;
  /** Chat requests sent, and how many of them succeeded. */
  sent: number;
  ok: number;
  /** Cached prompt tokens divided by prompt tokens. */
  cacheReuse: number;
  /** Cache reuse if each request ran where most of its prompt is cached. */
  oracleReuse: number;
  /**
   * Mean and 99th percentile of the highest load divided by the mean load,
   * sampled at each request start while the mean is at least 1.
   */
  skewMean: number;
  skewP99: number;
  firstTokenP50Ms: number;
  firstTokenP99Ms: number;
  /** Crashes of cold endpoints under too much load. */
  coldOverloads: number;
  /** Requests started in a zone more than 3 s after it was taken out. */
  startsInZoneOut: number;
  /** Bytes sent between peers, per node and second. */
  peerBytes: number;
  /** Successful chats per second before, during and after the churn. */
  okPerSecond: readonly [number, number, number];
}

interface Chat {
  messages: { role: string; content: string }[];
  busy: boolean;
}

const NODE_COUNT = 4;
const MODEL_COUNT = 6;
const CHAT_INTERVAL_MS = 60;
const PHASE_MS = 20_000;
const CATALOGUE_COUNT = 4;
const CATALOGUE_CHARS = 12_000;
const MAX_TOKENS = 24;
const CACHE_TOKENS = 60_000;
const CONTINUED_CHAT_RATIO = 0.75;
const MAX_CHATS = 120;

/** Measures one policy under one kind of churn; deterministic for a seed. */
export async function measurePolicy(
  policy: Policy,
  churn: Churn,
  { seed, zones }: { seed: number; zones: number },
): Promise<PolicyMeasurement> {
  const fleet = await TestFleet.ready({
    seed,
    nodes: NODE_COUNT,
    models: MODEL_COUNT,
    zones,
    model: { cacheCapacityTokens: CACHE_TOKENS },
    settings: (settings) => {
      settings.routing.policy = policy;
    },
  });
  const run = new PolicyRun(fleet, new Rng(seed), zones);
  const startMs = fleet.clock.monotonicMs();
  const bytesBefore = fleet.network.bytesSent;
  await run.runPhase(0);
  await run.beginChurn(churn);
  await run.runPhase(1);
  await run.endChurn(churn);
  await run.runPhase(2);
  await fleet.runUntil(() => run.open === 0, 60_000);
  const seconds = (fleet.clock.monotonicMs() - startMs) / 1_000;
  const peerBytes = (fleet.network.bytesSent - bytesBefore) / seconds /
    NODE_COUNT;
  const result = run.result({ policy, churn, seed, peerBytes });
  await fleet.close();
  return result;
}

/** One run: a fleet, its chats and the samples taken so far. */
class PolicyRun {
  readonly #fleet: TestFleet;
  readonly #rng: Rng;
  readonly #zones: number;
  readonly #chats: Chat[] = [];
  readonly #results: RequestResult[] = [];
  readonly #loadSkews: number[] = [];
  readonly #okByPhase: [number, number, number] = [0, 0, 0];
  #zoneOutSinceMs: number | undefined;
  #startsInZoneOut = 0;
  #promptTokens = 0;
  #oracleCachedTokens = 0;
  #phase = 0;
  sent = 0;
  open = 0;

  constructor(fleet: TestFleet, rng: Rng, zones: number) {
    this.#fleet = fleet;
    this.#rng = rng;
    this.#zones = zones;
    fleet.models().forEach((engine) => this.#observe(engine));
  }

  /** Sends chat requests for the length of one phase. */
  async runPhase(index: 0 | 1 | 2): Promise<void> {
    this.#phase = index;
    for (let ms = 0; ms < PHASE_MS; ms += CHAT_INTERVAL_MS) {
      this.#send();
      await this.#fleet.run(CHAT_INTERVAL_MS);
    }
  }

  /** Applies the change to endpoints or zone. */
  async beginChurn(churn: Churn): Promise<void> {
    const fleet = this.#fleet;
    if (churn === "endpoints") {
      fleet.model("m2").crash();
      fleet.model("m3").evictSilentlyTo(0.05);
      fleet.model("m4").drain();
      fleet.listEndpoint("m4", this.#zoneOf("m4"), "chat", "leaving");
      const cold = { completedAtStart: 0 };
      this.#observe(fleet.addModel("m7", this.#zoneOf("m7"), cold));
    }
    if (churn === "zone") {
      await fleet.settle(
        fleet.patch("n1", 1, { availability_zones: { z1: { state: "out" } } }),
      );
      this.#zoneOutSinceMs = fleet.clock.monotonicMs();
    }
  }

  /** Reverts the change to the zone; endpoint changes stay. */
  async endChurn(churn: Churn): Promise<void> {
    const fleet = this.#fleet;
    if (churn === "zone") {
      this.#zoneOutSinceMs = undefined;
      await fleet.settle(
        fleet.patch("n1", 2, { availability_zones: { z1: { state: "in" } } }),
      );
    }
  }

  /** Computes the measurements. */
  result(
    { policy, churn, seed, peerBytes }: {
      policy: Policy;
      churn: Churn;
      seed: number;
      peerBytes: number;
    },
  ): PolicyMeasurement {
    const models = this.#fleet.models();
    const sum = (select: (m: (typeof models)[number]) => number) =>
      models.reduce((total, model) => total + select(model), 0);
    const firstEventTimesMs = this.#results.flatMap((
      { firstEventMs },
    ) => firstEventMs ?? []);
    const [before, during, after] = this.#okByPhase;
    const perSecond = (count: number) => count * 1_000 / PHASE_MS;
    return {
      policy,
      churn,
      seed,
      sent: this.sent,
      ok: this.#results.filter(({ outcome }) => outcome === "ok").length,
      cacheReuse: sum((m) => m.cachedTokens) / sum((m) => m.promptTokens),
      oracleReuse: this.#oracleCachedTokens / this.#promptTokens,
      skewMean: this.#loadSkews.reduce((a, b) => a + b, 0) /
        this.#loadSkews.length,
      skewP99: percentile(this.#loadSkews, 0.99),
      firstTokenP50Ms: percentile(firstEventTimesMs, 0.5),
      firstTokenP99Ms: percentile(firstEventTimesMs, 0.99),
      coldOverloads: sum((m) => m.coldOverloads),
      startsInZoneOut: this.#startsInZoneOut,
      peerBytes,
      okPerSecond: [perSecond(before), perSecond(during), perSecond(after)],
    };
  }

  #observe(engine: ReturnType<TestFleet["model"]>): void {
    const start = engine.start.bind(engine);
    engine.start = (req) => {
      this.#recordOracle(req.messages);
      const run = start(req);
      this.#recordSkew();
      this.#recordStartInZoneOut(engine.id);
      return run;
    };
  }

  #recordOracle(messages: readonly { role: string; content: string }[]): void {
    const up = this.#fleet.models().filter(({ down }) => !down);
    const mostCached = Math.max(
      ...up.map((model) => model.countCachedTokens(messages)),
    );
    this.#oracleCachedTokens += mostCached;
    this.#promptTokens += messages.reduce(
      (total, { content }) =>
        total + Math.max(1, Math.ceil(content.length / 4)),
      0,
    );
  }

  #recordSkew(): void {
    const loads = this.#fleet.models()
      .filter(({ down }) => !down)
      .map(({ inFlight }) => inFlight);
    const total = loads.reduce((a, b) => a + b, 0);
    if (total >= loads.length) {
      this.#loadSkews.push(Math.max(...loads) * loads.length / total);
    }
  }

  /** Returns the zone in which {@linkcode TestFleet.ready} puts an endpoint. */
  #zoneOf(id: string): string {
    return `z${(Number(id.slice(1)) - 1) % this.#zones + 1}`;
  }

  #recordStartInZoneOut(id: string): void {
    const inZone = this.#zoneOf(id) === "z1";
    const nowMs = this.#fleet.clock.monotonicMs();
    const graceOver = this.#zoneOutSinceMs !== undefined &&
      nowMs - this.#zoneOutSinceMs > 3_000;
    if (inZone && graceOver) {
      this.#startsInZoneOut += 1;
    }
  }

  #send(): void {
    const idle = this.#chats.filter(({ busy }) => !busy);
    const continues = this.#rng.fraction() < CONTINUED_CHAT_RATIO;
    const chat = (continues ? this.#rng.pick(idle) : undefined) ??
      this.#newChat();
    const node = `n${1 + this.#rng.int(NODE_COUNT)}`;
    const turn = chat.messages.length;
    chat.messages.push({ role: "user", content: `turn ${turn} `.repeat(20) });
    chat.busy = true;
    this.sent += 1;
    this.open += 1;
    const phase = this.#phase;
    void this.#fleet.chat({
      node,
      messages: [...chat.messages],
      maxTokens: MAX_TOKENS,
    }).then((result) => {
      this.open -= 1;
      chat.busy = false;
      this.#results.push(result);
      if (result.outcome === "ok") {
        this.#okByPhase[phase as 0 | 1 | 2] += 1;
        chat.messages.push({
          role: "assistant",
          content: "answer ".repeat(12),
        });
      } else {
        chat.messages.pop();
      }
    });
  }

  #newChat(): Chat {
    const index = this.#rng.int(CATALOGUE_COUNT);
    const catalogue = `catalogue ${index} `.repeat(CATALOGUE_CHARS / 12);
    const chat: Chat = {
      busy: false,
      messages: [
        { role: "system", content: catalogue },
        { role: "user", content: `chat ${this.sent} `.repeat(10) },
      ],
    };
    this.#chats.push(chat);
    if (this.#chats.length > MAX_CHATS) {
      this.#chats.shift();
    }
    return chat;
  }
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;
}
