import { Readable } from "node:stream";
import { ManualClock } from "@limpetshed/base";
import type { Json } from "@limpetshed/config";
import { RouterError } from "@limpetshed/errors";
import { initHashing, Rng, sha256Hex } from "@limpetshed/hashing";
import { FakePeerNetwork } from "@limpetshed/peer";
import type { Settings } from "@limpetshed/settings";
import {
  type ChatMessage,
  FakeEndpoints,
  FakeModelEngine,
  type FakeModelEngineOptions,
  FakePlainService,
  FakeVmList,
  KvEngine,
  REFERENCE_HEADER,
} from "@limpetshed/stand_ins";
import { parseChatRequest } from "../../src/chat_request.ts";
import { TestNode } from "./test_node.ts";

/** Outcome of one request sent by a test. */
export interface TestAnswer {
  /** `ok` or an error kind. */
  outcome: string;
  run: string | undefined;
  text: string;
  /** Milliseconds until the first event. */
  firstMs: number | undefined;
  totalMs: number;
  retryAfterMs: number | undefined;
}

/** One chat that a test sends. */
export interface TestChat {
  node: string;
  member?: string;
  messages?: ChatMessage[];
  text?: string;
  maxTokens?: number;
  signal?: AbortSignal;
}

const STEP_MS = 10;
const WARM = 1_000;

/** Several nodes in one process over fakes with a clock that tests drive. */
export class TestFleet {
  readonly clock = new ManualClock(new Date("2026-01-01T00:00:00Z"));
  readonly rng: Rng;
  readonly engine = new KvEngine({ clock: this.clock });
  readonly vmList = new FakeVmList({ clock: this.clock, lagMs: 0 });
  readonly network = new FakePeerNetwork({ clock: this.clock });
  readonly endpoints = new FakeEndpoints();
  readonly nodes = new Map<string, TestNode>();
  readonly region = "home";
  readonly #settings: ((settings: Settings) => void) | undefined;
  #made = 0;
  #requests = 0;

  private constructor(
    seed: number,
    settings: ((settings: Settings) => void) | undefined,
  ) {
    this.rng = new Rng(seed);
    this.#settings = settings;
  }

  /** Makes an empty fleet. */
  static async make(
    { seed = 1, settings }: {
      seed?: number;
      settings?: (settings: Settings) => void;
    } = {},
  ): Promise<TestFleet> {
    await initHashing();
    return new TestFleet(seed, settings);
  }

  /** Makes a fleet with nodes, endpoints and a configuration, and settles. */
  static async ready(
    {
      seed = 1,
      nodes = 4,
      models = 6,
      plains = 3,
      zones = 3,
      config = {},
      model = {},
      settings,
    }: {
      seed?: number;
      nodes?: number;
      models?: number;
      plains?: number;
      zones?: number;
      config?: { [key: string]: Json };
      model?: Partial<FakeModelEngineOptions>;
      settings?: (settings: Settings) => void;
    } = {},
  ): Promise<TestFleet> {
    const fleet = await TestFleet.make({
      seed,
      ...(settings === undefined ? {} : { settings }),
    });
    const zone = (index: number) => `z${index % zones + 1}`;
    for (let index = 0; index < models; index += 1) {
      fleet.addModel(`m${index + 1}`, zone(index), model);
    }
    for (let index = 0; index < plains; index += 1) {
      fleet.addPlain(`p${index + 1}`, zone(index));
    }
    for (let index = 0; index < nodes; index += 1) {
      fleet.list(`n${index + 1}`, zone(index));
    }
    await Promise.all(
      Array.from(
        { length: nodes },
        (_, index) => fleet.addNode(`n${index + 1}`, zone(index)),
      ),
    );
    const submitted = fleet.patch("n1", 0, {
      ...firstConfig(zones),
      ...config,
    });
    await fleet.run(100);
    await submitted;
    await fleet.run(8_000);
    return fleet;
  }

  /** A node by id. */
  node(id: string): TestNode {
    const found = this.nodes.get(id);
    if (found === undefined) {
      throw new Error(`no node ${id}`);
    }
    return found;
  }

  /** Shows a node in the vm list. */
  list(
    id: string,
    zone: string,
    state: "live" | "leaving" | "gone" = "live",
  ): void {
    this.vmList.set({
      id,
      kind: "node",
      address: `peer://${id}`,
      region: this.region,
      availabilityZone: zone,
      service: "",
      state,
    });
  }

  /** Starts a node; the clock must run for it to join. */
  async addNode(id: string, zone: string): Promise<void> {
    this.#made += 1;
    const test = new TestNode({
      id,
      zone,
      region: this.region,
      seed: this.rng.int(1_000_000) + this.#made,
      clock: this.clock,
      engine: this.engine,
      vmList: this.vmList,
      network: this.network,
      endpoints: this.endpoints,
      ...(this.#settings === undefined ? {} : { settings: this.#settings }),
    });
    this.nodes.set(id, test);
    void test.node.start();
    await Promise.resolve();
  }

  /** Ends a node at once. */
  kill(id: string): void {
    this.node(id).kill();
    this.nodes.delete(id);
  }

  /** Adds a model endpoint. */
  addModel(
    id: string,
    zone: string,
    options: Partial<FakeModelEngineOptions> = {},
  ): FakeModelEngine {
    const engine = new FakeModelEngine({
      id,
      clock: this.clock,
      rng: new Rng(this.rng.int(1_000_000)),
      completedAtStart: WARM,
      ...options,
    });
    this.endpoints.models.set(`ep://${id}`, engine);
    this.listEndpoint(id, zone, "chat");
    return engine;
  }

  /** Adds a plain endpoint. */
  addPlain(id: string, zone: string): FakePlainService {
    const engine = new FakePlainService({ id, clock: this.clock });
    this.endpoints.plainServices.set(`ep://${id}`, engine);
    this.listEndpoint(id, zone, "booking");
    return engine;
  }

  /** Shows an endpoint in the vm list. */
  listEndpoint(
    id: string,
    zone: string,
    service: string,
    state: "live" | "leaving" | "gone" = "live",
  ): void {
    this.vmList.set({
      id,
      kind: "endpoint",
      address: `ep://${id}`,
      region: this.region,
      availabilityZone: zone,
      service,
      state,
    });
  }

  /** The model engines by endpoint id. */
  model(id: string): FakeModelEngine {
    const found = this.endpoints.models.get(`ep://${id}`);
    if (found === undefined) {
      throw new Error(`no model ${id}`);
    }
    return found;
  }

  /** All model engines. */
  models(): FakeModelEngine[] {
    return [...this.endpoints.models.values()];
  }

  /** Executions of a plain call over all plain endpoints. */
  executions(reference: string): number {
    let sum = 0;
    for (const engine of this.endpoints.plainServices.values()) {
      sum += engine.executions.get(reference) ?? 0;
    }
    return sum;
  }

  /** Lets time pass. */
  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  /** Lets time pass until `done`, at most `maxMs`. */
  async until(done: () => boolean, maxMs: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + maxMs;
    while (!done() && this.clock.monotonicMs() < endMs) {
      await this.run(STEP_MS);
    }
  }

  /** Lets time pass until a promise settles, at most `maxMs`. */
  async settle<T>(work: Promise<T>, maxMs = 60_000): Promise<T> {
    let done = false;
    const finish = () => {
      done = true;
    };
    work.then(finish, finish);
    await this.until(() => done, maxMs);
    if (!done) {
      throw new Error(`not settled within ${maxMs} ms`);
    }
    return await work;
  }

  /** Submits a patch at a node. */
  async patch(
    node: string,
    againstVersion: number,
    patch: Json,
    id = `patch-${againstVersion}-${node}`,
  ): Promise<number> {
    const { configRepository: keeper } = this.node(node).node;
    const { version } = await keeper.patch({
      expectedVersion: againstVersion,
      id,
      author: "test",
      patch,
    });
    return version;
  }

  /** Sends a streamed chat; resolves with its outcome as the clock runs. */
  async chat(chat: TestChat): Promise<TestAnswer> {
    const test = this.node(chat.node);
    this.#requests += 1;
    const startMs = this.clock.monotonicMs();
    const result = emptyAnswer("cut_off");
    await test.clock.whenResumed();
    const messages = chat.messages ??
      [{ role: "user", content: chat.text ?? "hello" }];
    const signals = [test.killed.signal];
    if (chat.signal !== undefined) {
      signals.push(chat.signal);
    }
    try {
      const req = parseChatRequest(
        JSON.stringify({
          model: "chat",
          stream: true,
          max_tokens: chat.maxTokens ?? 8,
          messages,
        }),
        {
          requestId: `r${this.#requests}`,
          member: chat.member ?? "a",
          headerKey: undefined,
          signal: AbortSignal.any(signals),
        },
      );
      for await (const data of test.node.chatService.stream(req)) {
        result.firstMs ??= this.clock.monotonicMs() - startMs;
        if (data === "[DONE]") {
          result.outcome = "ok";
        } else {
          result.text += data;
        }
      }
    } catch (err) {
      note(result, err);
    }
    result.totalMs = this.clock.monotonicMs() - startMs;
    return result;
  }

  /** Sends a call that may not be repeated. */
  async hold(node: string, { reference, key, body = "", path = "/holds" }: {
    reference: string;
    key?: string;
    body?: string;
    path?: string;
  }): Promise<TestAnswer> {
    const test = this.node(node);
    this.#requests += 1;
    const startMs = this.clock.monotonicMs();
    const result = emptyAnswer("ok");
    await test.clock.whenResumed();
    try {
      const reply = await test.node.plainService.call({
        requestId: `r${this.#requests}`,
        member: "a",
        service: "booking",
        method: "POST",
        path,
        headers: { [REFERENCE_HEADER]: reference },
        body: body === "" ? undefined : Readable.from([body]),
        idempotencyKey: key,
        signal: test.killed.signal,
      });
      for await (const chunk of reply.body) {
        result.text += String(chunk);
      }
      result.run = reply.replayed ? "replayed" : "ran";
    } catch (err) {
      note(result, err);
    }
    result.totalMs = this.clock.monotonicMs() - startMs;
    return result;
  }

  /** Ends everything. */
  async close(): Promise<void> {
    const closing = Promise.all(
      [...this.nodes.values()].map(({ node }) => node.close()),
    );
    await this.settle(closing, 120_000);
    this.engine.close();
  }
}

/** A configuration with members `a`, `b`, `c` and all zones in. */
export function firstConfig(zones: number): { [key: string]: Json } {
  const member = (name: string): Json => ({
    keys: [sha256Hex(`${name}.secret`)],
    services: ["chat", "booking"],
    share: 1_000_000,
  });
  return {
    budget: { tokens_per_second: 10_000_000 },
    services: {
      chat: { kind: "model", max_in_flight: 16 },
      booking: {
        kind: "plain",
        operations: [
          { method: "GET", path_prefix: "/", repeatable: true },
          { method: "POST", path_prefix: "/", repeatable: false },
        ],
      },
    },
    availability_zones: Object.fromEntries(
      Array.from(
        { length: zones },
        (_, index) => [`z${index + 1}`, { state: "in" }],
      ),
    ),
    members: { a: member("a"), b: member("b"), c: member("c") },
  };
}

function emptyAnswer(outcome: string): TestAnswer {
  return {
    outcome,
    run: undefined,
    text: "",
    firstMs: undefined,
    totalMs: 0,
    retryAfterMs: undefined,
  };
}

function note(result: TestAnswer, err: unknown): void {
  if (err instanceof RouterError) {
    result.outcome = err.kind;
    result.run = err.run;
    result.retryAfterMs = err.retryAfterMs;
    return;
  }
  throw err;
}
