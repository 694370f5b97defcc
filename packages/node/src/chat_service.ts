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
  type AssignmentOutcome,
  type ChatKeys,
  chatKeys,
} from "@limpetshed/placement";
import type { ChatRequest } from "./chat_request.ts";
import type { FoundPlace, PlaceFinder } from "./place_finder.ts";
import { failureOutcome } from "./failure_outcome.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Options of {@linkcode ChatService}. */
export interface ChatServiceOptions {
  clock: Clock;
  metrics: Metrics;
  client: EndpointClient;
  placeFinder: PlaceFinder;
  retryBudget: RetryBudget;
  config: () => ConfigSnapshot;
}

const MAX_ATTEMPTS = 2;

interface Attempt {
  found: FoundPlace;
  call: ChatCall;
}

/** State of a chat request across its attempts. */
interface ChatRun {
  req: ChatRequest;
  keys: ChatKeys;
  fingerprint: bigint;
  tried: Set<string>;
  attempts: number;
}

/**
 * Runs chat requests: places each on an endpoint, relays the response and
 * retries at most once, on another endpoint.
 */
export class ChatService {
  readonly #options: ChatServiceOptions;

  constructor(options: ChatServiceOptions) {
    this.#options = options;
  }

  /**
   * Yields the data of each server-sent event, `[DONE]` included. If it throws
   * before the first event, nothing was delivered; if it throws later, the
   * response is truncated.
   */
  async *stream(req: ChatRequest): AsyncIterable<string> {
    const run = this.#createRun(req);
    for (;;) {
      const attempt = await this.#acquirePlace(run);
      let delivered = 0;
      let usage: TokenUsage | undefined;
      let outcome: AssignmentOutcome = "cancelled";
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
        outcome = req.signal.aborted ? "cancelled" : failureOutcome(err);
        if (delivered > 0 || !this.#mayRetry(run, err)) {
          throw this.#toRouterError(err, req.signal);
        }
      } finally {
        this.#finish(run, attempt, { outcome, usage, delivered });
      }
    }
  }

  /** Runs a request without streaming; returns the complete response. */
  async whole(req: ChatRequest): Promise<ChatResponse> {
    const run = this.#createRun(req);
    for (;;) {
      const attempt = await this.#acquirePlace(run);
      let usage: TokenUsage | undefined;
      let outcome: AssignmentOutcome = "completed";
      const { endpoint } = attempt.found.place;
      try {
        const response = await this.#options.client.runChat(
          endpoint,
          attempt.call,
          { signal: req.signal },
        );
        usage = readUsage(response.body);
        return response;
      } catch (err) {
        outcome = req.signal.aborted ? "cancelled" : failureOutcome(err);
        if (!this.#mayRetry(run, err)) {
          throw this.#toRouterError(err, req.signal);
        }
      } finally {
        this.#finish(run, attempt, { outcome, usage, delivered: 0 });
      }
    }
  }

  #createRun(req: ChatRequest): ChatRun {
    const { member, service, explicitKey, messages } = req;
    const serviceConfig = this.#options.config().service(service);
    if (serviceConfig?.kind !== "model") {
      throw new RouterError("not_found", `no model service ${service}`);
    }
    this.#options.retryBudget.deposit();
    return {
      req,
      keys: chatKeys({ member, service, explicitKey, messages }),
      fingerprint: hash64(`${member}\u0000${service}\u0000${req.body}`),
      tried: new Set(),
      attempts: 0,
    };
  }

  async #acquirePlace(run: ChatRun): Promise<Attempt> {
    const { req, keys, fingerprint, tried } = run;
    if (req.signal.aborted) {
      throw abortedBeforeStart(req.signal);
    }
    const found = await this.#options.placeFinder.find({
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
      this.#options.placeFinder.settle(req.member, found, 0);
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
      outcome: AssignmentOutcome;
      usage: TokenUsage | undefined;
      delivered: number;
    },
  ): void {
    const { metrics, placeFinder: places } = this.#options;
    found.place.finish(outcome);
    if (usage !== undefined) {
      metrics.count("cache.prompt_tokens", usage.promptTokens);
      metrics.count("cache.cached_tokens", usage.cachedTokens);
    }
    const hasStarted = outcome === "completed" || delivered > 0;
    // Without a usage report, each delivered event counts as one token.
    const spent = usage === undefined
      ? (hasStarted ? req.promptTokens + delivered : 0)
      : usage.promptTokens + usage.completionTokens;
    places.settle(req.member, found, spent);
  }

  /**
   * Decides on a retry of a request of which nothing was delivered; charges the
   * retry budget. One retry per request.
   */
  #mayRetry({ attempts, req }: ChatRun, err: unknown): boolean {
    const retriable = err instanceof EndpointError &&
      err.kind !== "invalid_request";
    if (!retriable || attempts >= MAX_ATTEMPTS || req.signal.aborted) {
      return false;
    }
    if (!this.#options.retryBudget.tryWithdraw()) {
      return false;
    }
    this.#options.metrics.countRetry(retryReason(err));
    return true;
  }

  #toRouterError(err: unknown, signal: AbortSignal): RouterError {
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

/** Abort reason of a request's signal when its deadline has passed. */
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
