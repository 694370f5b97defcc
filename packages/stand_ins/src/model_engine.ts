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
export interface ModelEngineOptions {
  id: string;
  clock: Clock;
  rng: Rng;
  /** Requests that run at once; more wait, by priority. */
  maxConcurrency?: number;
  prefillMsPerToken?: number;
  tokenMs?: number;
  cacheTokens?: number;
  /** Requests a cold engine bears at once; more make it fall over. */
  coldInitial?: number;
  /** Completed requests per further request that a cold engine bears. */
  coldStep?: number;
  /** Age of load reports in milliseconds. */
  reportLagMs?: number;
  /** Share of cache events that are lost. */
  eventLoss?: number;
  /** Refuses orders with an old fencing number. */
  checksFencing?: boolean;
  /** Time from a crash to the next start. */
  restartMs?: number;
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

interface Waiting {
  priority: WorkPriority;
  start: () => void;
}

interface AgedReport {
  atMs: number;
  inFlight: number;
  completed: number;
}

const MAX_EVENTS_KEPT = 1_000;
const MAX_REPORTS_KEPT = 4_000;
const RUN_KEPT_MS = 10_000;

/** A model engine in miniature: batching, prefix cache, cold start, crashes. */
export class ModelEngine {
  readonly id: string;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #options: Required<ModelEngineOptions>;
  #cache: PrefixCache;
  #runs = new Map<string, ModelRun>();
  #running = 0;
  #waiting: Waiting[] = [];
  #completed: number;
  #boot = 1;
  #down = false;
  #draining = false;
  #reports: AgedReport[] = [];
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
  readonly orders: EndpointOrder[] = [];
  /** Prompt tokens and cached prompt tokens of all finished prefills. */
  promptTokens = 0;
  cachedTokens = 0;

  constructor(options: ModelEngineOptions) {
    this.#options = {
      maxConcurrency: 16,
      prefillMsPerToken: 0.2,
      tokenMs: 10,
      cacheTokens: 200_000,
      coldInitial: 1,
      coldStep: 4,
      reportLagMs: 500,
      eventLoss: 0.1,
      checksFencing: true,
      restartMs: 3_000,
      completedAtStart: 0,
      ...options,
    };
    this.id = options.id;
    this.#clock = options.clock;
    this.#rng = options.rng;
    this.#completed = this.#options.completedAtStart;
    this.#cache = this.#newCache();
    this.#recordReport();
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
  cachedFor(messages: readonly ChatMessage[]): number {
    return this.#cache.peek(messages);
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
    this.#recordReport();
    if (this.inFlight > this.#bearable()) {
      this.coldOverloads += 1;
      this.crash();
    }
    return run;
  }

  /** Finds a run that can be resumed. */
  find(requestId: string): ModelRun | undefined {
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
    this.#clock.setTimer(this.#options.restartMs, () => this.restart());
  }

  /** Goes down with all running work; stays down. */
  stop(): void {
    this.#down = true;
    const runs = [...this.#runs.values()];
    this.#runs.clear();
    this.#waiting = [];
    this.#running = 0;
    runs.filter((run) => !run.finished).forEach((run) => run.break());
  }

  /** Starts anew, cold. */
  restart(): void {
    this.#boot += 1;
    this.#completed = 0;
    this.#cache = this.#newCache();
    this.#reports = [];
    this.#down = false;
    this.#draining = false;
    this.#recordReport();
  }

  /** Evicts cached context without telling anyone. */
  evictTo(fraction: number): void {
    const onEvict = this.#cache.onEvict;
    this.#cache.onEvict = () => undefined;
    this.#cache.evictTo(fraction);
    this.#cache.onEvict = onEvict;
  }

  /** The load report, as old as the engine's lag. */
  report(eventsAfter: number): LoadReport {
    const atMs = this.#clock.monotonicMs() - this.#options.reportLagMs;
    const aged = this.#reports.findLast((entry) => entry.atMs <= atMs) ??
      this.#reports[0]!;
    return {
      bootId: `${this.id}#${this.#boot}`,
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
    this.orders.push(order);
    return true;
  }

  /** Exports the cached blocks of some chats. */
  exportCache(chatKeys: readonly string[]) {
    return this.#cache.exportChats(new Set(chatKeys));
  }

  /** Imports blocks that another engine exported. */
  importCache(blocks: ReturnType<ModelEngine["exportCache"]>): number {
    this.#cache.importBlocks(blocks);
    return blocks.length;
  }

  async #execute(run: ModelRun, req: RunRequest): Promise<void> {
    const boot = this.#boot;
    await this.#takeSlot(req.priority);
    const alive = () => boot === this.#boot && !this.#down;
    if (!alive()) {
      return;
    }
    if (req.messages.some(({ content }) => content.includes(CRASH_TEXT))) {
      this.crash();
      return;
    }
    await this.#prefill(run, req);
    for (let made = 0; alive() && made < req.maxTokens; made += 1) {
      await sleep(this.#clock, this.#options.tokenMs);
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
    const cachedTokens = this.#cache.peek(req.messages);
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
    this.#recordReport();
    this.#clock.setTimer(RUN_KEPT_MS, () => {
      if (this.#runs.get(run.requestId) === run) {
        this.#runs.delete(run.requestId);
      }
    });
    this.#nextWaiting()?.start();
  }

  #takeSlot(priority: WorkPriority): Promise<void> {
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

  #nextWaiting(): Waiting | undefined {
    const first = this.#waiting.findIndex((entry) =>
      entry.priority === "share"
    );
    return this.#waiting.splice(Math.max(0, first), 1)[0];
  }

  #bearable(): number {
    const { coldInitial, coldStep } = this.#options;
    const limit = coldInitial + Math.floor(this.#completed / coldStep);
    const warm = limit >= this.#options.maxConcurrency;
    return warm ? Number.POSITIVE_INFINITY : limit;
  }

  #state(): EndpointState {
    if (this.#draining) {
      return "draining";
    }
    return Number.isFinite(this.#bearable()) ? "starting" : "ready";
  }

  #newCache(): PrefixCache {
    const cache = new PrefixCache({
      capacityTokens: this.#options.cacheTokens,
    });
    cache.onEvict = (chatKey) => this.#addCacheEvent("evicted", chatKey);
    return cache;
  }

  #addCacheEvent(kind: CacheEvent["kind"], chatKey: string): void {
    this.#eventSequence += 1;
    if (this.#rng.fraction() < this.#options.eventLoss) {
      return;
    }
    this.#cacheEvents.push({ sequence: this.#eventSequence, kind, chatKey });
    if (this.#cacheEvents.length > MAX_EVENTS_KEPT) {
      this.#cacheEvents = this.#cacheEvents.slice(-MAX_EVENTS_KEPT / 2);
    }
  }

  #recordReport(): void {
    this.#reports.push({
      atMs: this.#clock.monotonicMs(),
      inFlight: this.inFlight,
      completed: this.#completed,
    });
    if (this.#reports.length > MAX_REPORTS_KEPT) {
      this.#reports = this.#reports.slice(-MAX_REPORTS_KEPT / 2);
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
