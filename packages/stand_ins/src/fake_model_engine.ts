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

/** Text that crashes the model stand-in when a chat contains it. */
export const CRASH_TEXT = "CRASH-THE-ENDPOINT";

/** How a model stand-in behaves. */
export interface FakeModelEngineOptions {
  id: string;
  clock: Clock;
  rng: Rng;
  /** Requests that run at once; more wait, by priority. */
  maxConcurrency?: number;
  prefillMsPerToken?: number;
  decodeMsPerToken?: number;
  cacheCapacityTokens?: number;
  /** Requests a cold engine bears at once; more make it fall over. */
  coldConcurrency?: number;
  /** Completed requests per further request that a cold engine bears. */
  completionsPerColdSlot?: number;
  /** Age of load reports in milliseconds. */
  reportLagMs?: number;
  /** Share of cache events that are lost. */
  cacheEventLossRate?: number;
  /** Refuses orders with an old fencing number. */
  checksFencing?: boolean;
  /** Time from a crash to the next start. */
  restartDelayMs?: number;
  /** Start with this many completed requests, as an engine long in service. */
  completedAtStart?: number;
}

/** What a run needs. */
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

/** A model engine in miniature: batching, prefix cache, cold start, crashes. */
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
  /** Most requests open at once so far. */
  peakInFlight = 0;
  /** Requests started so far, over all restarts. */
  started = 0;
  crashes = 0;
  /** Crashes caused by more work than a cold engine bears. */
  coldOverloads = 0;
  /** Orders taken, in order. */
  readonly acceptedOrders: EndpointOrder[] = [];
  /** Prompt tokens and cached prompt tokens of all finished prefills. */
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

  /** Requests open now, waiting ones included. */
  get inFlight(): number {
    return this.#running + this.#waiting.length;
  }

  /** No connection is accepted. */
  get down(): boolean {
    return this.#down;
  }

  /** What an oracle that knows the cache would read for a prompt. */
  countCachedTokens(messages: readonly ChatMessage[]): number {
    return this.#cache.countCachedTokens(messages);
  }

  /** Starts a request. */
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

  /** Finds a run that can be resumed. */
  findRun(requestId: string): ModelRun | undefined {
    return this.#down ? undefined : this.#runs.get(requestId);
  }

  /** Stops a run. */
  cancel(requestId: string): void {
    const run = this.#runs.get(requestId);
    if (run !== undefined && !run.finished) {
      run.cancelled = true;
    }
  }

  /** Says that the endpoint is leaving. */
  drain(): void {
    this.#draining = true;
  }

  /** Loses all running work and the cache, then starts anew, cold. */
  crash(): void {
    this.crashes += 1;
    this.stop();
    this.#clock.setTimer(this.#options.restartDelayMs, () => this.restart());
  }

  /** Goes down with all running work; stays down. */
  stop(): void {
    this.#down = true;
    const runs = [...this.#runs.values()];
    this.#runs.clear();
    this.#waiting = [];
    this.#running = 0;
    runs.filter((run) => !run.finished).forEach((run) => run.crash());
  }

  /** Starts anew, cold. */
  restart(): void {
    this.#bootNumber += 1;
    this.#completed = 0;
    this.#cache = this.#newCache();
    this.#loadSamples = [];
    this.#down = false;
    this.#draining = false;
    this.#recordLoadSample();
  }

  /** Evicts cached context without telling anyone. */
  evictSilentlyTo(fraction: number): void {
    const onEvict = this.#cache.onEvict;
    this.#cache.onEvict = () => undefined;
    this.#cache.evictTo(fraction);
    this.#cache.onEvict = onEvict;
  }

  /** The load report, as old as the engine's lag. */
  loadReport(eventsAfter: number): LoadReport {
    const atMs = this.#clock.monotonicMs() - this.#options.reportLagMs;
    const aged = this.#loadSamples.findLast((entry) => entry.atMs <= atMs) ??
      this.#loadSamples[0]!;
    return {
      bootId: `${this.id}#${this.#bootNumber}`,
      state: this.#state(),
      inFlight: aged.inFlight,
      completed: aged.completed,
      loaded: this.#loaded,
      fencingNumber: this.#options.checksFencing ? this.#fencingNumber : 0,
      cacheEvents: this.#cacheEvents.filter((event) =>
        event.sequence > eventsAfter
      ),
    };
  }

  /** Takes an order; false if its fencing number is old and checked. */
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

  /** Exports the cached blocks of some chats. */
  exportCache(chatKeys: readonly string[]) {
    return this.#cache.exportChats(new Set(chatKeys));
  }

  /** Imports blocks that another engine exported. */
  importCache(blocks: ReturnType<FakeModelEngine["exportCache"]>): number {
    this.#cache.importBlocks(blocks);
    return blocks.length;
  }

  async #execute(run: ModelRun, req: RunRequest): Promise<void> {
    const boot = this.#bootNumber;
    await this.#acquireSlot(req.priority);
    const alive = () => boot === this.#bootNumber && !this.#down;
    if (!alive()) {
      return;
    }
    if (req.messages.some(({ content }) => content.includes(CRASH_TEXT))) {
      this.crash();
      return;
    }
    await this.#prefill(run, req);
    for (let made = 0; alive() && made < req.maxTokens; made += 1) {
      await sleep(this.#clock, this.#options.decodeMsPerToken);
      if (!alive() || run.cancelled) {
        break;
      }
      run.firstEventMs ??= this.#clock.monotonicMs();
      run.usage.completionTokens += 1;
      run.append(tokenChunk(run, made, made + 1 === req.maxTokens));
    }
    if (alive()) {
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
    const workMs = (promptTokens - cachedTokens) *
      this.#options.prefillMsPerToken;
    await sleep(this.#clock, workMs);
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

  #dequeueWaiting(): WaitingRequest | undefined {
    const first = this.#waiting.findIndex((entry) =>
      entry.priority === "share"
    );
    return this.#waiting.splice(Math.max(0, first), 1)[0];
  }

  #coldConcurrencyLimit(): number {
    const { coldConcurrency: coldInitial, completionsPerColdSlot: coldStep } =
      this.#options;
    const limit = coldInitial + Math.floor(this.#completed / coldStep);
    const warm = limit >= this.#options.maxConcurrency;
    return warm ? Number.POSITIVE_INFINITY : limit;
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

function tokenChunk(run: ModelRun, made: number, last: boolean): string {
  return JSON.stringify({
    id: run.requestId,
    object: "chat.completion.chunk",
    choices: [{
      index: 0,
      delta: { content: `w${made} ` },
      finish_reason: last ? "stop" : null,
    }],
    ...(last ? { usage: usageFields(run) } : {}),
  });
}

/** The `usage` object of the OpenAI-compatible form. */
export function usageFields(run: ModelRun) {
  const { promptTokens, completionTokens, cachedTokens } = run.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}
