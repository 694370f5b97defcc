import {
  type Choice,
  type EndpointChooser,
  type HedgePolicy,
  type NoChoice,
  streamKey,
} from "@limpetshed/dispatch";
import type { RouteTable } from "@limpetshed/routing";
import { AttemptRunner, type AttemptRunnerOptions } from "./attempt_runner.ts";
import { choiceRequest } from "./choice_request.ts";
import { abortError, attemptError, noEndpointError } from "./forward_errors.ts";
import { HedgedSender } from "./hedged_sender.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { ResponseWriter } from "./response_writer.ts";
import type { SendResult } from "./send_result.ts";
import { SseFramer } from "./sse_framer.ts";

/** Options of {@linkcode RequestForwarder}. */
export interface RequestForwarderOptions extends AttemptRunnerOptions {
  chooser: EndpointChooser;
  hedgePolicy: HedgePolicy;
  /** Routes and services of the active configuration. */
  routeTable: () => RouteTable | undefined;
}

/** Forwards a request to endpoints, retrying within the route's limits, until
 * one of them has answered it. */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;
  readonly #sender: HedgedSender;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
    this.#sender = new HedgedSender({
      ...options,
      policy: options.hedgePolicy,
      runner: new AttemptRunner(options),
    });
  }

  /** Forwards `request` until it is answered or no retry is allowed.
   *
   * @throws RouterError describing the failure to report to the client.
   */
  async forward(request: RelayRequest, writer: ResponseWriter): Promise<void> {
    const framer = request.route.resumable
      ? new SseFramer(request.resumption?.lastEventId)
      : undefined;
    this.#options.retryGuard.recordRequest(request);
    this.#options.hedgePolicy.recordRequest(request.service);
    for (;;) {
      const choice = this.#chooseEndpointOrThrow(request);
      const { result, crashCheck } = await this.#sender.send(request, choice, {
        writer,
        framer,
      });
      if (result.outcome === "delivered") {
        this.#recordCompleted(request);
        return;
      }
      if (request.signal.aborted) {
        throw abortError(request);
      }
      if (!this.#shouldRetry(request, { result, writer })) {
        throw attemptError(request, result);
      }
      // A retry must not take to the next endpoint what crashed this one.
      await crashCheck;
      if (request.signal.aborted) {
        throw abortError(request);
      }
      framer?.beginContinuation();
      this.#options.observer.retried(request, result.outcome);
    }
  }

  /** Whether to try another endpoint after `result`. For `failed`,
   * the attempt has already consumed a retry from the budget. */
  #shouldRetry(
    request: RelayRequest,
    { result, writer }: { result: SendResult; writer: ResponseWriter },
  ): boolean {
    const { outcome } = result;
    return outcome === "failed" || this.#options.retryGuard.tryRetry(request, {
      outcome,
      counts: request.counts,
      receivedAttempts: request.receivedAttempts,
      isCommitted: writer.isHeadSent &&
        !(request.route.resumable && writer.isEventStream),
    });
  }

  /** Chooses an endpoint; reports a refusal to the observer and throws it. */
  #chooseEndpointOrThrow(
    request: RelayRequest,
  ): Exclude<Choice, NoChoice> {
    const choice = this.#chooseEndpoint(request);
    if ("refusal" in choice) {
      this.#options.retryGuard.giveBack(request);
      this.#options.observer.noEndpointChosen(request, choice);
      throw noEndpointError(request, choice);
    }
    return choice;
  }

  #chooseEndpoint(request: RelayRequest): Choice {
    const { chooser, crashGuard, clock } = this.#options;
    const verdict = crashGuard.verdict(request);
    if (verdict.outcome === "refused") {
      const { trait, waitMs } = verdict;
      return { refusal: "crash_suspect", waitMs, trait };
    }
    const table = this.#options.routeTable();
    const req = choiceRequest(request, { table, clock });
    return req === undefined
      ? { refusal: "none_in_service" }
      : chooser.choose(req);
  }

  #recordCompleted({ route, account, requestId }: RelayRequest): void {
    if (route.resumable) {
      this.#options.streamOrigins.recordCompleted(
        streamKey(account, requestId),
      );
    }
  }
}
