import type { Clock } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import {
  type ChatCall,
  type ChatResponse,
  type EndpointClient,
  EndpointError,
  readUsage,
  type TokenUsage,
} from "@limpetshed/endpoint";
import { RouterError, toRouterError } from "@limpetshed/errors";
import { hash64 } from "@limpetshed/hashing";
import type { Metrics } from "@limpetshed/observe";
import {
  type ChatKeys,
  chatKeys,
  type PlaceOutcome,
} from "@limpetshed/placement";
import type { ChatRequest } from "./chat_request.ts";
import type { FoundPlace, PlaceFinder } from "./place_finder.ts";
import { outcomeOf } from "./place_outcome.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Options of {@linkcode ChatService}. */
export interface ChatServiceOptions {
  clock: Clock;
  metrics: Metrics;
  client: EndpointClient;
  places: PlaceFinder;
  retries: RetryBudget;
  config: () => ConfigSnapshot;
}

const MAX_ATTEMPTS = 2;

interface Attempt {
  found: FoundPlace;
  call: ChatCall;
}

/** State of one chat over its attempts. */
interface ChatRun {
  req: ChatRequest;
  keys: ChatKeys;
  fingerprint: bigint;
  tried: Set<string>;
  attempts: number;
}

/** Runs chats: finds a place, relays the answer, tries once more elsewhere. */
export class ChatService {
  readonly #options: ChatServiceOptions;

  constructor(options: ChatServiceOptions) {
    this.#options = options;
  }

  /**
   * Yields the data of each event of the streamed answer, `[DONE]` included.
   * Rejects before the first event when nothing was delivered; a rejection
   * after it means that the answer is not whole.
   */
  async *stream(req: ChatRequest): AsyncIterable<string> {
    const run = this.#begin(req);
    for (;;) {
      const attempt = await this.#place(run);
      let delivered = 0;
      let usage: TokenUsage | undefined;
      let outcome: PlaceOutcome = "cancelled";
      const { endpoint } = attempt.found.place;
      try {
        const events = this.#options.client.streamChat(endpoint, attempt.call, {
          signal: req.signal,
        });
        for await (const { data } of events) {
          delivered += 1;
          usage = readUsage(data) ?? usage;
          yield data;
        }
        outcome = "completed";
        return;
      } catch (err) {
        outcome = req.signal.aborted ? "cancelled" : outcomeOf(err);
        if (delivered > 0 || !this.#mayRetry(run, err)) {
          throw this.#asAnswer(err, req.signal);
        }
      } finally {
        this.#finish(run, attempt, { outcome, usage, delivered });
      }
    }
  }

  /** Returns the whole answer. */
  async whole(req: ChatRequest): Promise<ChatResponse> {
    const run = this.#begin(req);
    for (;;) {
      const attempt = await this.#place(run);
      let usage: TokenUsage | undefined;
      let outcome: PlaceOutcome = "completed";
      const { endpoint } = attempt.found.place;
      try {
        const answer = await this.#options.client.runChat(
          endpoint,
          attempt.call,
          { signal: req.signal },
        );
        usage = readUsage(answer.body);
        return answer;
      } catch (err) {
        outcome = req.signal.aborted ? "cancelled" : outcomeOf(err);
        if (!this.#mayRetry(run, err)) {
          throw this.#asAnswer(err, req.signal);
        }
      } finally {
        this.#finish(run, attempt, { outcome, usage, delivered: 0 });
      }
    }
  }

  #begin(req: ChatRequest): ChatRun {
    const { member, service, explicitKey, messages } = req;
    const known = this.#options.config().service(service);
    if (known?.kind !== "model") {
      throw new RouterError("not_found", `no model service ${service}`);
    }
    this.#options.retries.earn();
    return {
      req,
      keys: chatKeys({ member, service, explicitKey, messages }),
      fingerprint: hash64(`${member}\u0000${service}\u0000${req.body}`),
      tried: new Set(),
      attempts: 0,
    };
  }

  async #place(run: ChatRun): Promise<Attempt> {
    const { req, keys, fingerprint, tried } = run;
    if (req.signal.aborted) {
      throw abortedBeforeStart(req.signal);
    }
    const found = await this.#options.places.find({
      member: req.member,
      cost: req.promptTokens + req.maxTokens,
      signal: req.signal,
      request: {
        service: req.service,
        keys,
        fingerprint,
        promptTokens: req.promptTokens,
        exclude: tried,
      },
    });
    if (req.signal.aborted) {
      found.place.finish("cancelled");
      this.#options.places.settle(req.member, found, 0);
      throw abortedBeforeStart(req.signal);
    }
    run.attempts += 1;
    tried.add(found.place.endpoint.id);
    const call: ChatCall = {
      requestId: run.attempts === 1
        ? req.requestId
        : `${req.requestId}-${run.attempts}`,
      body: req.body,
      priority: found.reserved > 0 ? "share" : "spare",
      chatKey: keys.chatKey.toString(16),
    };
    return { found, call };
  }

  #finish(
    { req }: ChatRun,
    { found }: Attempt,
    { outcome, usage, delivered }: {
      outcome: PlaceOutcome;
      usage: TokenUsage | undefined;
      delivered: number;
    },
  ): void {
    const { metrics, places } = this.#options;
    found.place.finish(outcome);
    if (usage !== undefined) {
      metrics.count("cache.prompt_tokens", usage.promptTokens);
      metrics.count("cache.cached_tokens", usage.cachedTokens);
    }
    const began = outcome === "completed" || delivered > 0;
    const spent = usage === undefined
      ? (began ? req.promptTokens + delivered : 0)
      : usage.promptTokens + usage.completionTokens;
    places.settle(req.member, found, spent);
  }

  /** Only what no caller has seen a byte of is tried again, once. */
  #mayRetry({ attempts, req }: ChatRun, err: unknown): boolean {
    const retriable = err instanceof EndpointError &&
      err.kind !== "invalid_request";
    if (!retriable || attempts >= MAX_ATTEMPTS || req.signal.aborted) {
      return false;
    }
    if (!this.#options.retries.take()) {
      return false;
    }
    this.#options.metrics.countRetry(retryReason(err));
    return true;
  }

  #asAnswer(err: unknown, signal: AbortSignal): RouterError {
    if (signal.aborted) {
      return abortedAfterStart(signal, err);
    }
    return toRouterError(err);
  }
}

function retryReason(err: EndpointError) {
  switch (err.kind) {
    case "endpoint_unreachable":
      return "connect_failed";
    case "endpoint_refused":
      return "endpoint_refused";
    default:
      return "first_byte_missing";
  }
}

/** Reason with which a request's signal is aborted at its deadline. */
export const DEADLINE_REASON = "deadline";

function abortedBeforeStart(signal: AbortSignal): RouterError {
  return signal.reason === DEADLINE_REASON
    ? new RouterError("deadline_before_start", "the deadline passed")
    : new RouterError("caller_cancelled", "the caller went away", {
      run: "not-run",
    });
}

function abortedAfterStart(signal: AbortSignal, cause: unknown): RouterError {
  return signal.reason === DEADLINE_REASON
    ? new RouterError("deadline_exceeded", "the deadline passed", { cause })
    : new RouterError("caller_cancelled", "the caller went away", { cause });
}
