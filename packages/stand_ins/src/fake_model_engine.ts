import { type Clock, sleep } from "@limpetshed/base";
import type {
  CacheEvent,
  EndpointOrder,
  EndpointState,
  LoadedState,
  LoadReport,
  WorkPriority,
} from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";
import { ModelRun } from "./model_run.ts";
import { type ChatMessage, countTokens, PrefixCache } from "./prefix_cache.ts";

/** Makes the engine crash when a chat message contains it. */
export const CRASH_TEXT = "CRASH-THE-ENDPOINT";

/** Options of {@linkcode FakeModelEngine}. */
export interface FakeModelEngineOptions {
  id: string;
  clock: Clock;
  rng: Rng;
  /** Concurrent requests; further requests queue, by priority. */
  maxConcurrency?: number;
  prefillMsPerToken?: number;
  decodeMsPerToken?: number;
  cacheCapacityTokens?: number;
  /** Concurrent requests a cold engine withstands; more crash it. */
  coldConcurrency?: number;
  /** Completed requests that raise the cold limit by one. */
  completionsPerColdSlot?: number;
  /** Age of the data in load reports, in milliseconds. */
  reportLagMs?: number;
  /** Fraction of cache events that are not reported, from 0 to 1. */
  cacheEventLossRate?: number;
  /** Whether orders with a stale fencing number are rejected. */
  checksFencing?: boolean;
  /** Delay from a crash to the restart, in milliseconds. */
  restartDelayMs?: number;
  /** Initial completed count; a high one simulates a warm engine. */
  completedAtStart?: number;
}

/** Chat completion request to the engine. */
export interface RunRequest {
  requestId: string;
  messages: readonly ChatMessage[];
  maxTokens: number;
  priority: WorkPriority;
  chatKey: string;
}

interface WaitingRequest {
  priority: WorkPriority;
  start: () => void;
}

interface LoadSample {
  atMs: number;
  inFlight: number;
  completed: number;
}

const MAX_CACHE_EVENTS = 1_000;
const MAX_LOAD_SAMPLES = 4_000;
const RUN_RETENTION_MS = 10_000;

/**
 * Simulates a model inference engine: concurrent generation, queueing, prefix
 * cache, cold start and crashes.
 */
export class FakeModelEngine {
  readonly id: string;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #options: Required<FakeModelEngineOptions>;
  #cache: PrefixCache;
  #runs = new Map<string, ModelRun>();
  #running = 0;
  #waiting: WaitingRequest[] = [];
  #completed: number;
  #bootNumber = 1;
  #down = false;
  #draining = false;
  #loadSamples: LoadSample[] = [];
  #cacheEvents: CacheEvent[] = [];
  #eventSequence = 0;
  #loaded: LoadedState = {
    model: "",
    version: "",
    adapters: [],
    role: "serve",
  };
  #fencingNumber = 0;
  /** Highest number of open requests so far. */
  peakInFlight = 0;
  /** Total requests started, across restarts. */
  started = 0;
  crashes = 0;
  /** Crashes caused by exceeding the cold limit. */
  coldOverloads = 0;
  /** Accepted orders, oldest first. */
  readonly acceptedOrders: EndpointOrder[] = [];
  /** Total prompt tokens, and those found in the cache, at prefill. */
  promptTokens = 0;
  cachedTokens = 0;

  constructor(options: FakeModelEngineOptions) {
    this.#options = {
      maxConcurrency: 16,
      prefillMsPerToken: 0.2,
      decodeMsPerToken: 10,
      cacheCapacityTokens: 200_000,
      coldConcurrency: 1,
      completionsPerColdSlot: 4,
      reportLagMs: 500,
      cacheEventLossRate: 0.1,
      checksFencing: true,
      restartDelayMs: 3_000,
      completedAtStart: 0,
      ...options,
    };
    this.id = options.id;
    this.#clock = options.clock;
    this.#rng = options.rng;
    this.#completed = this.#options.completedAtStart;
    this.#cache = this.#newCache();
    this.#recordLoadSample();
  }

  /** Number of open requests, queued ones included. */
  get inFlight(): number {
    return this.#running + this.#waiting.length;
  }

  /** Whether the engine refuses connections. */
  get down(): boolean {
    return this.#down;
  }

  /** Returns the prompt tokens in the cache, without updating recency. */
  countCachedTokens(messages: readonly ChatMessage[]): number {
    return this.#cache.countCachedTokens(messages);
  }

  /** Starts a request; crashes the engine if it exceeds the cold limit. */
  start(req: RunRequest): ModelRun {
    if (this.#down) {
      throw new Error("endpoint is down");
    }
    const run = new ModelRun(req.requestId);
    this.#runs.set(req.requestId, run);
    this.started += 1;
    void this.#execute(run, req);
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
    this.#recordLoadSample();
    if (this.inFlight > this.#coldConcurrencyLimit()) {
      this.coldOverloads += 1;
      this.crash();
    }
    return run;
  }

  /** Returns the run to resume, if it is still retained. */
  findRun(requestId: string): ModelRun | undefined {
    return this.#down ? undefined : this.#runs.get(requestId);
  }

  /** Cancels a run; it ends before its next token. */
  cancel(requestId: string): void {
    const run = this.#runs.get(requestId);
    if (run !== undefined && !run.finished) {
      run.cancelled = true;
    }
  }

  /** Reports the state `draining` from now on. */
  drain(): void {
    this.#draining = true;
  }

  /** Aborts all runs, then restarts cold after a delay. */
  crash(): void {
    this.crashes += 1;
    this.stop();
    this.#clock.setTimer(this.#options.restartDelayMs, () => this.restart());
  }

  /** Aborts all runs and stays down. */
  stop(): void {
    this.#down = true;
    const runs = [...this.#runs.values()];
    this.#runs.clear();
    this.#waiting = [];
    this.#running = 0;
    runs.filter((run) => !run.finished).forEach((run) => run.crash());
  }

  /** Starts cold, with an empty cache and a new boot id. */
  restart(): void {
    this.#bootNumber += 1;
    this.#completed = 0;
    this.#cache = this.#newCache();
    this.#loadSamples = [];
    this.#down = false;
    this.#draining = false;
    this.#recordLoadSample();
  }

  /** Evicts cache blocks without emitting cache events. */
  evictSilentlyTo(fraction: number): void {
    const onEvict = this.#cache.onEvict;
    this.#cache.onEvict = () => undefined;
    this.#cache.evictTo(fraction);
    this.#cache.onEvict = onEvict;
  }

  /** Returns the load report; its load figures lag by `reportLagMs`. */
  loadReport(eventsAfter: number): LoadReport {
    const atMs = this.#clock.monotonicMs() - this.#options.reportLagMs;
    const sample = this.#loadSamples.findLast((entry) => entry.atMs <= atMs) ??
      this.#loadSamples[0]!;
    return {
      bootId: `${this.id}#${this.#bootNumber}`,
      state: this.#state(),
      inFlight: sample.inFlight,
      completed: sample.completed,
      loaded: this.#loaded,
      fencingNumber: this.#options.checksFencing ? this.#fencingNumber : 0,
      cacheEvents: this.#cacheEvents.filter((event) =>
        event.sequence > eventsAfter
      ),
    };
  }

  /** Applies an order; returns false if it is rejected as stale. */
  order(order: EndpointOrder): boolean {
    if (
      this.#options.checksFencing && order.fencingNumber < this.#fencingNumber
    ) {
      return false;
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    this.#loaded = order.wanted;
    this.acceptedOrders.push(order);
    return true;
  }

  /** Exports the cached blocks of the given chats. */
  exportCache(chatKeys: readonly string[]) {
    return this.#cache.exportChats(new Set(chatKeys));
  }

  /** Imports blocks exported by another engine; returns their number. */
  importCache(blocks: ReturnType<FakeModelEngine["exportCache"]>): number {
    this.#cache.importBlocks(blocks);
    return blocks.length;
  }

  async #execute(run: ModelRun, req: RunRequest): Promise<void> {
    const bootNumber = this.#bootNumber;
    await this.#acquireSlot(req.priority);
    const isStillUp = () => bootNumber === this.#bootNumber && !this.#down;
    if (!isStillUp()) {
      return;
    }
    if (req.messages.some(({ content }) => content.includes(CRASH_TEXT))) {
      this.crash();
      return;
    }
    await this.#prefill(run, req);
    for (let index = 0; isStillUp() && index < req.maxTokens; index += 1) {
      await sleep(this.#clock, this.#options.decodeMsPerToken);
      if (!isStillUp() || run.cancelled) {
        break;
      }
      run.firstEventMs ??= this.#clock.monotonicMs();
      run.usage.completionTokens += 1;
      run.append(tokenChunk(run, index, index + 1 === req.maxTokens));
    }
    if (isStillUp()) {
      this.#finish(run);
    }
  }

  async #prefill(run: ModelRun, req: RunRequest): Promise<void> {
    const promptTokens = req.messages.reduce(
      (sum, { content }) => sum + countTokens(content),
      0,
    );
    const cachedTokens = this.#cache.countCachedTokens(req.messages);
    run.usage = { promptTokens, cachedTokens, completionTokens: 0 };
    this.promptTokens += promptTokens;
    this.cachedTokens += cachedTokens;
    this.#cache.store(req.messages, req.chatKey);
    this.#addCacheEvent("stored", req.chatKey);
    const prefillMs = (promptTokens - cachedTokens) *
      this.#options.prefillMsPerToken;
    await sleep(this.#clock, prefillMs);
  }

  #finish(run: ModelRun): void {
    if (!run.cancelled) {
      run.append("[DONE]");
      this.#completed += 1;
    }
    run.finish();
    this.#running -= 1;
    this.#recordLoadSample();
    this.#clock.setTimer(RUN_RETENTION_MS, () => {
      if (this.#runs.get(run.requestId) === run) {
        this.#runs.delete(run.requestId);
      }
    });
    this.#dequeueWaiting()?.start();
  }

  #acquireSlot(priority: WorkPriority): Promise<void> {
    if (this.#running < this.#options.maxConcurrency) {
      this.#running += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const start = () => {
        this.#running += 1;
        resolve();
      };
      this.#waiting.push({ priority, start });
    });
  }

  /** Removes the oldest `share` request, or else the oldest request. */
  #dequeueWaiting(): WaitingRequest | undefined {
    const firstShare = this.#waiting.findIndex((entry) =>
      entry.priority === "share"
    );
    return this.#waiting.splice(Math.max(0, firstShare), 1)[0];
  }

  /** Returns the request limit of a cold engine, infinity once warm. */
  #coldConcurrencyLimit(): number {
    const { coldConcurrency: coldInitial, completionsPerColdSlot: coldStep } =
      this.#options;
    const limit = coldInitial + Math.floor(this.#completed / coldStep);
    const isWarm = limit >= this.#options.maxConcurrency;
    return isWarm ? Number.POSITIVE_INFINITY : limit;
  }

  #state(): EndpointState {
    if (this.#draining) {
      return "draining";
    }
    return Number.isFinite(this.#coldConcurrencyLimit()) ? "starting" : "ready";
  }

  #newCache(): PrefixCache {
    const cache = new PrefixCache({
      capacityTokens: this.#options.cacheCapacityTokens,
    });
    cache.onEvict = (chatKey) => this.#addCacheEvent("evicted", chatKey);
    return cache;
  }

  #addCacheEvent(kind: CacheEvent["kind"], chatKey: string): void {
    this.#eventSequence += 1;
    if (this.#rng.fraction() < this.#options.cacheEventLossRate) {
      return;
    }
    this.#cacheEvents.push({ sequence: this.#eventSequence, kind, chatKey });
    if (this.#cacheEvents.length > MAX_CACHE_EVENTS) {
      this.#cacheEvents = this.#cacheEvents.slice(-MAX_CACHE_EVENTS / 2);
    }
  }

  #recordLoadSample(): void {
    this.#loadSamples.push({
      atMs: this.#clock.monotonicMs(),
      inFlight: this.inFlight,
      completed: this.#completed,
    });
    if (this.#loadSamples.length > MAX_LOAD_SAMPLES) {
      this.#loadSamples = this.#loadSamples.slice(-MAX_LOAD_SAMPLES / 2);
    }
  }
}

function tokenChunk(run: ModelRun, index: number, last: boolean): string {
  return JSON.stringify({
    id: run.requestId,
    object: "chat.completion.chunk",
    choices: [{
      index: 0,
      delta: { content: `w${index} ` },
      finish_reason: last ? "stop" : null,
    }],
    ...(last ? { usage: usageFields(run) } : {}),
  });
}

/** Builds the OpenAI-compatible `usage` object. */
export function usageFields(run: ModelRun) {
  const { promptTokens, completionTokens, cachedTokens } = run.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}
