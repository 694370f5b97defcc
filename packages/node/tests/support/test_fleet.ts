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

/** Outcome of one request that a test sent. */
export interface RequestResult {
  /** `ok`, an error kind, or `cut_off` for a chat that ended early. */
  outcome: string;
  /** Run state of an error; `ran` or `replayed` for a successful call. */
  run: string | undefined;
  /** Concatenated events of a chat, or body of a call. */
  text: string;
  /** Time to the first event of a chat, in milliseconds. */
  firstEventMs: number | undefined;
  totalMs: number;
  retryAfterMs: number | undefined;
}

/** Options of {@linkcode TestFleet.chat}. */
export interface ChatOptions {
  node: string;
  member?: string;
  messages?: ChatMessage[];
  text?: string;
  maxTokens?: number;
  signal?: AbortSignal;
}

const STEP_MS = 10;
/** Enough completed requests for a model engine to be past its cold start. */
const WARM_COMPLETED_REQUESTS = 1_000;

/** Several nodes in one process on fake dependencies and a manual clock. */
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
  #nodesAdded = 0;
  #requestsSent = 0;

  private constructor(
    seed: number,
    settings: ((settings: Settings) => void) | undefined,
  ) {
    this.rng = new Rng(seed);
    this.#settings = settings;
  }

  /** Makes a fleet without nodes or endpoints. */
  static async make(
    { seed = 1, settings }: {
      seed?: number;
      settings?: (settings: Settings) => void;
    } = {},
  ): Promise<TestFleet> {
    await initHashing();
    return new TestFleet(seed, settings);
  }

  /**
   * Makes a fleet with nodes, endpoints and an initial configuration, and
   * advances the clock so that it reaches a steady state.
   */
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
      fleet.listNode(`n${index + 1}`, zone(index));
    }
    await Promise.all(
      Array.from(
        { length: nodes },
        (_, index) => fleet.addNode(`n${index + 1}`, zone(index)),
      ),
    );
    const submitted = fleet.patch("n1", 0, {
      ...initialConfig(zones),
      ...config,
    });
    await fleet.run(100);
    await submitted;
    await fleet.run(8_000);
    return fleet;
  }

  /** Returns a node; throws if there is none with this id. */
  node(id: string): TestNode {
    const found = this.nodes.get(id);
    if (found === undefined) {
      throw new Error(`no node ${id}`);
    }
    return found;
  }

  /** Sets the state of a node in the vm list. */
  listNode(
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

  /** Starts a node; it joins the fleet as the clock advances. */
  async addNode(id: string, zone: string): Promise<void> {
    this.#nodesAdded += 1;
    const testNode = new TestNode({
      id,
      zone,
      region: this.region,
      seed: this.rng.int(1_000_000) + this.#nodesAdded,
      clock: this.clock,
      engine: this.engine,
      vmList: this.vmList,
      network: this.network,
      endpoints: this.endpoints,
      ...(this.#settings === undefined ? {} : { settings: this.#settings }),
    });
    this.nodes.set(id, testNode);
    void testNode.node.start();
    await Promise.resolve();
  }

  /** Crashes a node and removes it from the fleet. */
  kill(id: string): void {
    this.node(id).kill();
    this.nodes.delete(id);
  }

  /** Adds a model endpoint, warm unless `options` say otherwise. */
  addModel(
    id: string,
    zone: string,
    options: Partial<FakeModelEngineOptions> = {},
  ): FakeModelEngine {
    const engine = new FakeModelEngine({
      id,
      clock: this.clock,
      rng: new Rng(this.rng.int(1_000_000)),
      completedAtStart: WARM_COMPLETED_REQUESTS,
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

  /** Sets the state of an endpoint in the vm list. */
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

  /** Returns the engine of a model endpoint; throws if there is none. */
  model(id: string): FakeModelEngine {
    const found = this.endpoints.models.get(`ep://${id}`);
    if (found === undefined) {
      throw new Error(`no model ${id}`);
    }
    return found;
  }

  /** Returns the engines of all model endpoints. */
  models(): FakeModelEngine[] {
    return [...this.endpoints.models.values()];
  }

  /** Counts how often the plain endpoints executed a call. */
  executions(reference: string): number {
    let sum = 0;
    for (const engine of this.endpoints.plainServices.values()) {
      sum += engine.executions.get(reference) ?? 0;
    }
    return sum;
  }

  /** Advances the clock. */
  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  /** Advances the clock until `done` returns true, by at most `maxMs`. */
  async runUntil(done: () => boolean, maxMs: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + maxMs;
    while (!done() && this.clock.monotonicMs() < endMs) {
      await this.run(STEP_MS);
    }
  }

  /**
   * Advances the clock until a promise settles and returns its value; throws
   * if that takes more than `maxMs`.
   */
  async settle<T>(promise: Promise<T>, maxMs = 60_000): Promise<T> {
    let settled = false;
    const finish = () => {
      settled = true;
    };
    promise.then(finish, finish);
    await this.runUntil(() => settled, maxMs);
    if (!settled) {
      throw new Error(`not settled within ${maxMs} ms`);
    }
    return await promise;
  }

  /** Submits a configuration patch at a node; returns the new version. */
  async patch(
    node: string,
    againstVersion: number,
    patch: Json,
    id = `patch-${againstVersion}-${node}`,
  ): Promise<number> {
    const { configRepository } = this.node(node).node;
    const { version } = await configRepository.patch({
      expectedVersion: againstVersion,
      id,
      author: "test",
      patch,
    });
    return version;
  }

  /** Sends a streamed chat request; resolves as the clock advances. */
  async chat(chat: ChatOptions): Promise<RequestResult> {
    const testNode = this.node(chat.node);
    this.#requestsSent += 1;
    const startMs = this.clock.monotonicMs();
    const result = emptyResult("cut_off");
    await testNode.clock.whenResumed();
    const messages = chat.messages ??
      [{ role: "user", content: chat.text ?? "hello" }];
    const signals = [testNode.killed.signal];
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
          requestId: `r${this.#requestsSent}`,
          member: chat.member ?? "a",
          headerKey: undefined,
          signal: AbortSignal.any(signals),
        },
      );
      for await (const data of testNode.node.chatService.stream(req)) {
        result.firstEventMs ??= this.clock.monotonicMs() - startMs;
        if (data === "[DONE]") {
          result.outcome = "ok";
        } else {
          result.text += data;
        }
      }
    } catch (err) {
      recordError(result, err);
    }
    result.totalMs = this.clock.monotonicMs() - startMs;
    return result;
  }

  /** Posts to the `booking` service, whose POST requests are not repeatable. */
  async postHold(node: string, { reference, key, body = "", path = "/holds" }: {
    reference: string;
    key?: string;
    body?: string;
    path?: string;
  }): Promise<RequestResult> {
    const testNode = this.node(node);
    this.#requestsSent += 1;
    const startMs = this.clock.monotonicMs();
    const result = emptyResult("ok");
    await testNode.clock.whenResumed();
    try {
      const reply = await testNode.node.plainService.call({
        requestId: `r${this.#requestsSent}`,
        member: "a",
        service: "booking",
        method: "POST",
        path,
        headers: { [REFERENCE_HEADER]: reference },
        body: body === "" ? undefined : Readable.from([body]),
        idempotencyKey: key,
        signal: testNode.killed.signal,
      });
      for await (const chunk of reply.body) {
        result.text += String(chunk);
      }
      result.run = reply.replayed ? "replayed" : "ran";
    } catch (err) {
      recordError(result, err);
    }
    result.totalMs = this.clock.monotonicMs() - startMs;
    return result;
  }

  /** Closes all nodes and the store. */
  async close(): Promise<void> {
    const closing = Promise.all(
      [...this.nodes.values()].map(({ node }) => node.close()),
    );
    await this.settle(closing, 120_000);
    this.engine.close();
  }
}

/** Configuration with members `a`, `b` and `c`, in which all zones are in. */
export function initialConfig(zones: number): { [key: string]: Json } {
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

function emptyResult(outcome: string): RequestResult {
  return {
    outcome,
    run: undefined,
    text: "",
    firstEventMs: undefined,
    totalMs: 0,
    retryAfterMs: undefined,
  };
}

function recordError(result: RequestResult, err: unknown): void {
  if (err instanceof RouterError) {
    result.outcome = err.kind;
    result.run = err.run;
    result.retryAfterMs = err.retryAfterMs;
    return;
  }
  throw err;
}
