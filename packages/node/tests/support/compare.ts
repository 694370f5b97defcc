import { Rng } from "@limpetshed/hashing";
import type { Settings } from "@limpetshed/settings";
import { type TestAnswer, TestFleet } from "./test_fleet.ts";

/** Placement policies that can be compared. */
export type Policy = Settings["routing"]["policy"];

/** What happens to the endpoints during a run. */
export type Churn = "calm" | "endpoints" | "zone";

/** Figures of one run. */
export interface Comparison {
  policy: Policy;
  churn: Churn;
  seed: number;
  sent: number;
  ok: number;
  /** Cached prompt tokens over prompt tokens. */
  cacheReuse: number;
  /** The same for the best endpoint at each start, as an oracle sees it. */
  oracleReuse: number;
  /** Mean and 99th percentile of load over mean load, at starts of work. */
  skewMean: number;
  skewP99: number;
  firstTokenP50Ms: number;
  firstTokenP99Ms: number;
  /** Cold endpoints that fell over. */
  coldOverloads: number;
  /** Starts in a zone more than 3 s after it was taken out. */
  startsInZoneOut: number;
  /** Bytes of peer frames a node and second. */
  peerBytes: number;
  /** Work done a second before, while and after the zone is out. */
  okPerSecond: readonly [number, number, number];
}

interface Chat {
  messages: { role: string; content: string }[];
  busy: boolean;
}

const NODES = 4;
const MODELS = 6;
const EVERY_MS = 60;
const PHASE_MS = 20_000;
const CATALOGUES = 4;
const CATALOGUE_CHARS = 12_000;
const MAX_TOKENS = 24;
const CACHE_TOKENS = 60_000;
const RETURNING = 0.75;
const MAX_CHATS = 120;

/** Runs one policy through one kind of churn; repeats with its seed. */
export async function compare(
  policy: Policy,
  churn: Churn,
  { seed, zones }: { seed: number; zones: number },
): Promise<Comparison> {
  const fleet = await TestFleet.ready({
    seed,
    nodes: NODES,
    models: MODELS,
    zones,
    model: { cacheCapacityTokens: CACHE_TOKENS },
    settings: (settings) => {
      settings.routing.policy = policy;
    },
  });
  const run = new Run(fleet, new Rng(seed), zones);
  const startMs = fleet.clock.monotonicMs();
  const bytesBefore = fleet.network.bytesSent;
  await run.phase(0);
  await run.begin(churn);
  await run.phase(1);
  await run.end(churn);
  await run.phase(2);
  await fleet.until(() => run.open === 0, 60_000);
  const seconds = (fleet.clock.monotonicMs() - startMs) / 1_000;
  const peerBytes = (fleet.network.bytesSent - bytesBefore) / seconds / NODES;
  const result = run.result({ policy, churn, seed, peerBytes });
  await fleet.close();
  return result;
}

class Run {
  readonly #fleet: TestFleet;
  readonly #rng: Rng;
  readonly #zones: number;
  readonly #chats: Chat[] = [];
  readonly #answers: TestAnswer[] = [];
  readonly #skews: number[] = [];
  readonly #okByPhase: [number, number, number] = [0, 0, 0];
  #outSinceMs: number | undefined;
  #startsInZoneOut = 0;
  #oraclePrompt = 0;
  #oracleCached = 0;
  #phase = 0;
  sent = 0;
  open = 0;

  constructor(fleet: TestFleet, rng: Rng, zones: number) {
    this.#fleet = fleet;
    this.#rng = rng;
    this.#zones = zones;
    fleet.models().forEach((engine) => this.#watch(engine));
  }

  /** Sends load for one phase. */
  async phase(index: 0 | 1 | 2): Promise<void> {
    this.#phase = index;
    for (let ms = 0; ms < PHASE_MS; ms += EVERY_MS) {
      this.#send();
      await this.#fleet.run(EVERY_MS);
    }
  }

  /** Begins the churn. */
  async begin(churn: Churn): Promise<void> {
    const fleet = this.#fleet;
    if (churn === "endpoints") {
      fleet.model("m2").crash();
      fleet.model("m3").evictSilentlyTo(0.05);
      fleet.model("m4").drain();
      fleet.listEndpoint("m4", this.#zoneOf("m4"), "chat", "leaving");
      const cold = { completedAtStart: 0 };
      this.#watch(fleet.addModel("m7", this.#zoneOf("m7"), cold));
    }
    if (churn === "zone") {
      await fleet.settle(
        fleet.patch("n1", 1, { availability_zones: { z1: { state: "out" } } }),
      );
      this.#outSinceMs = fleet.clock.monotonicMs();
    }
  }

  /** Ends the churn. */
  async end(churn: Churn): Promise<void> {
    const fleet = this.#fleet;
    if (churn === "zone") {
      this.#outSinceMs = undefined;
      await fleet.settle(
        fleet.patch("n1", 2, { availability_zones: { z1: { state: "in" } } }),
      );
    }
  }

  /** Sums up. */
  result(
    { policy, churn, seed, peerBytes }: {
      policy: Policy;
      churn: Churn;
      seed: number;
      peerBytes: number;
    },
  ): Comparison {
    const models = this.#fleet.models();
    const sum = (read: (m: (typeof models)[number]) => number) =>
      models.reduce((total, model) => total + read(model), 0);
    const firsts = this.#answers.flatMap(({ firstMs }) => firstMs ?? []);
    const [before, during, after] = this.#okByPhase;
    const perSecond = (count: number) => count * 1_000 / PHASE_MS;
    return {
      policy,
      churn,
      seed,
      sent: this.sent,
      ok: this.#answers.filter(({ outcome }) => outcome === "ok").length,
      cacheReuse: sum((m) => m.cachedTokens) / sum((m) => m.promptTokens),
      oracleReuse: this.#oracleCached / this.#oraclePrompt,
      skewMean: this.#skews.reduce((a, b) => a + b, 0) / this.#skews.length,
      skewP99: percentile(this.#skews, 0.99),
      firstTokenP50Ms: percentile(firsts, 0.5),
      firstTokenP99Ms: percentile(firsts, 0.99),
      coldOverloads: sum((m) => m.coldOverloads),
      startsInZoneOut: this.#startsInZoneOut,
      peerBytes,
      okPerSecond: [perSecond(before), perSecond(during), perSecond(after)],
    };
  }

  #watch(engine: ReturnType<TestFleet["model"]>): void {
    const start = engine.start.bind(engine);
    engine.start = (req) => {
      this.#noteOracle(req.messages);
      const run = start(req);
      this.#noteSkew();
      this.#noteZone(engine.id);
      return run;
    };
  }

  #noteOracle(messages: readonly { role: string; content: string }[]): void {
    const up = this.#fleet.models().filter(({ down }) => !down);
    const best = Math.max(
      ...up.map((model) => model.countCachedTokens(messages)),
    );
    this.#oracleCached += best;
    this.#oraclePrompt += messages.reduce(
      (total, { content }) =>
        total + Math.max(1, Math.ceil(content.length / 4)),
      0,
    );
  }

  #noteSkew(): void {
    const loads = this.#fleet.models()
      .filter(({ down }) => !down)
      .map(({ inFlight }) => inFlight);
    const total = loads.reduce((a, b) => a + b, 0);
    if (total >= loads.length) {
      this.#skews.push(Math.max(...loads) * loads.length / total);
    }
  }

  /** Zone that {@linkcode TestFleet.ready} puts a model endpoint in. */
  #zoneOf(id: string): string {
    return `z${(Number(id.slice(1)) - 1) % this.#zones + 1}`;
  }

  #noteZone(id: string): void {
    const inZone = this.#zoneOf(id) === "z1";
    const nowMs = this.#fleet.clock.monotonicMs();
    const late = this.#outSinceMs !== undefined &&
      nowMs - this.#outSinceMs > 3_000;
    if (inZone && late) {
      this.#startsInZoneOut += 1;
    }
  }

  #send(): void {
    const idle = this.#chats.filter(({ busy }) => !busy);
    const returning = this.#rng.fraction() < RETURNING;
    const chat = (returning ? this.#rng.pick(idle) : undefined) ??
      this.#newChat();
    const node = `n${1 + this.#rng.int(NODES)}`;
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
    }).then((answer) => {
      this.open -= 1;
      chat.busy = false;
      this.#answers.push(answer);
      if (answer.outcome === "ok") {
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
    const index = this.#rng.int(CATALOGUES);
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

function percentile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(part * (sorted.length - 1))] ?? 0;
}
