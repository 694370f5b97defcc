import type { Clock } from "@limpetshed/base";
import type {
  EndpointChooser,
  HedgePolicy,
  HedgeTimes,
} from "@limpetshed/dispatch";
import type { RouteTable } from "@limpetshed/routing";
import {
  AttemptRace,
  type RunningAttempt,
  type SentAttempt,
} from "./attempt_race.ts";
import type {
  AttemptRunner,
  ChosenEndpoint,
  StartOptions,
} from "./attempt_runner.ts";
import { choiceRequest } from "./choice_request.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { HedgeDenial, RelayObserver } from "./relay_observer.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { RetryGuard } from "./retry_guard.ts";

/** Options of {@linkcode HedgedSender}. */
export interface HedgedSenderOptions {
  clock: Clock;
  runner: Pick<AttemptRunner, "start">;
  policy: HedgePolicy;
  chooser: Pick<EndpointChooser, "chooseSpare">;
  retryGuard: Pick<RetryGuard, "tryHedge" | "giveBackHedge">;
  crashGuard: Pick<CrashGuard, "isSuspected">;
  observer: Pick<RelayObserver, "hedged" | "hedgeDenied">;
  /** Routes and services of the active configuration. */
  routeTable: () => RouteTable | undefined;
}

/** A second attempt that was started. */
interface Hedge {
  endpoint: ChosenEndpoint["endpoint"];
  startMs: number;
}

const FIRST_ERROR_STATUS = 400;

/** Sends a request to an endpoint, and a second time to another one if the first
 * is slow and the request may run twice; one of them answers the client. */
export class HedgedSender {
  readonly #options: HedgedSenderOptions;

  constructor(options: HedgedSenderOptions) {
    this.#options = options;
  }

  /** Sends `request` to the chosen endpoint; resolves when all attempts have
   * ended. */
  async send(
    request: RelayRequest,
    choice: ChosenEndpoint,
    options: Omit<StartOptions, "entry">,
  ): Promise<SentAttempt> {
    const { clock, runner, observer } = this.#options;
    const startMs = clock.monotonicMs();
    const race = new AttemptRace();
    const start = (chosen: ChosenEndpoint) =>
      race.add((entry) => runner.start(request, chosen, { ...options, entry }));
    const first = start(choice);
    const times = this.#hedgeTimes(request);
    let hedge: Hedge | undefined;
    const timer = times && clock.setTimer(times.delayMs, () => {
      if (!race.isDecided && !first.isAnswering()) {
        request.tried.add(choice.endpoint.key);
        hedge = this.#hedge(request, times, start);
      }
    });
    void first.ended.then(() => timer?.cancel());
    const sent = await race.result();
    const isSecondUsed = race.committed === 1;
    this.#recordTimes(request, { sent, startMs, hedge, isSecondUsed });
    if (hedge !== undefined) {
      observer.hedged(request, {
        endpoints: [choice.endpoint, hedge.endpoint],
        afterMs: hedge.startMs - startMs,
        tookMs: clock.monotonicMs() - startMs,
        outcome: sent.result.outcome !== "delivered"
          ? "none_won"
          : isSecondUsed
          ? "second_won"
          : "first_won",
      });
    }
    return sent;
  }

  /** When the request is sent a second time, unless its endpoint answers. */
  #hedgeTimes(request: RelayRequest): HedgeTimes | undefined {
    const { route, service, counts, receivedAttempts } = request;
    const mayBeHedged = route.kind === "safe" && receivedAttempts === 0 &&
      counts.sends + 2 <= route.maxAttempts;
    return mayBeHedged
      ? this.#options.policy.times({ service, route: route.name })
      : undefined;
  }

  /** Sends the request a second time, if that is allowed. */
  #hedge(
    request: RelayRequest,
    times: HedgeTimes,
    start: (choice: ChosenEndpoint) => RunningAttempt,
  ): Hedge | undefined {
    const { clock, policy, retryGuard, observer } = this.#options;
    const { service } = request;
    const choice = this.#chooseSecond(request, times);
    if (typeof choice === "string") {
      observer.hedgeDenied(request, choice);
      return undefined;
    }
    const startMs = clock.monotonicMs();
    void start(choice).ended.then(({ result }) => {
      if (result.sentMs === undefined) {
        policy.giveBack(service);
        retryGuard.giveBackHedge(service);
      }
    });
    return { endpoint: choice.endpoint, startMs };
  }

  /** Chooses the endpoint of a second send and takes it from the share and the
   * retry budget, or tells why there is none. */
  #chooseSecond(
    request: RelayRequest,
    { usualMs }: HedgeTimes,
  ): ChosenEndpoint | HedgeDenial {
    const { clock, policy, chooser, retryGuard, crashGuard, routeTable } =
      this.#options;
    const { service } = request;
    const choice = choiceRequest(request, { table: routeTable(), clock });
    if (choice === undefined || choice.overloadInput.leftMs <= usualMs) {
      return "no_time";
    }
    if (crashGuard.isSuspected(request)) {
      return "crash_suspect";
    }
    if (!policy.tryTake(service)) {
      return "share_used";
    }
    if (!retryGuard.tryHedge(service)) {
      policy.giveBack(service);
      return "budget_used";
    }
    const chosen = chooser.chooseSpare(choice);
    if (chosen === undefined) {
      policy.giveBack(service);
      retryGuard.giveBackHedge(service);
      return "no_room";
    }
    return chosen;
  }

  /** Records how long plain requests take. That of an attempt which was cancelled
   * counts as long as it ran, or slow ones would never be seen. */
  #recordTimes(
    { service, route }: RelayRequest,
    { sent: { result }, startMs, hedge, isSecondUsed }: {
      sent: SentAttempt;
      startMs: number;
      hedge: Hedge | undefined;
      isSecondUsed: boolean;
    },
  ): void {
    const { outcome, status = 0 } = result;
    if (
      route.kind === "stream" || outcome !== "delivered" ||
      status >= FIRST_ERROR_STATUS
    ) {
      return;
    }
    const { policy, clock } = this.#options;
    const kind = { service, route: route.name };
    const nowMs = clock.monotonicMs();
    policy.recordTime(kind, nowMs - startMs);
    if (hedge !== undefined && isSecondUsed) {
      policy.recordTime(kind, nowMs - hedge.startMs);
    }
  }
}
