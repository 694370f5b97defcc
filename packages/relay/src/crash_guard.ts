import type {
  CrashSuspects,
  CrashVerdict,
  Endpoint,
} from "@limpetshed/dispatch";
import type { LivenessProbe } from "./liveness_probe.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { SendResult } from "./send_result.ts";

/** Options of {@linkcode CrashGuard}. */
export interface CrashGuardOptions {
  suspects: CrashSuspects;
  probe: LivenessProbe;
  /** Whether the endpoint with this key said that it leaves, or may have. */
  isLeaving: (endpointKey: string) => boolean;
}

/** Statuses from which a response is an error: it says nothing of what a prompt
 * does to an endpoint that begins to answer it. */
const FIRST_ERROR_STATUS = 400;

/** Keeps requests that crash endpoints from them: tells crashes from other lost
 * connections and applies what is known of the requests' traits. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Decides whether `request` may be sent. */
  verdict(request: RelayRequest): CrashVerdict {
    return this.#options.suspects.verdict(this.#traits(request));
  }

  /** Whether `request` may have crashed endpoints, also if it may be sent. */
  isSuspected(request: RelayRequest): boolean {
    return this.#options.suspects.isSuspected(this.#traits(request));
  }

  /** Resolves to whether the process of an endpoint is known to be there, whether it
   * leaves or not. */
  isAlive({ entry }: Endpoint): Promise<boolean> {
    return this.#options.probe.isAlive(entry.address);
  }

  /** Resolves to whether an endpoint that did not say that it leaves refuses
   * connections. */
  async isDown({ key, entry }: Endpoint): Promise<boolean> {
    const { probe, isLeaving } = this.#options;
    return !isLeaving(key) && await probe.isRefused(entry.address);
  }

  /** Counts `request` as in flight until `result` resolves, and then records what
   * it tells of the request's traits. */
  async track(
    request: RelayRequest,
    endpoint: Endpoint,
    result: Promise<SendResult>,
  ): Promise<SendResult> {
    const { suspects } = this.#options;
    const traits = this.#traits(request);
    const trials = suspects.begin(traits);
    const ended = await result;
    suspects.end(traits);
    this.#record(request, { endpoint, trials, result: ended });
    return ended;
  }

  /** Finds out whether the endpoint crashed, if the result leaves that open. */
  async confirmCrash(endpoint: Endpoint, result: SendResult): Promise<void> {
    const { outcome, connectionEnd } = result;
    const wasLost = outcome === "lost" || outcome === "broken";
    if (wasLost && connectionEnd === "closed" && await this.isDown(endpoint)) {
      this.#options.suspects.recordEndpointDown(endpoint.key);
    }
  }

  #record(
    request: RelayRequest,
    { endpoint: { key }, trials, result }: {
      endpoint: Endpoint;
      trials: readonly string[];
      result: SendResult;
    },
  ): void {
    const { suspects, isLeaving } = this.#options;
    const { outcome, status = 0, connectionEnd, sentMs, answeringMs } = result;
    if (outcome === "delivered") {
      if (status < FIRST_ERROR_STATUS) {
        suspects.recordCompleted(request.service, this.#traits(request));
      }
    } else if (connectionEnd === "refused" || outcome === "misdirected") {
      suspects.recordEndpointDown(key);
    } else if (
      (outcome === "lost" || outcome === "broken") && sentMs !== undefined &&
      !isLeaving(key)
    ) {
      suspects.recordLostResponse({
        traits: [...request.promptTraits, request.fingerprint()],
        trials,
        endpoint: key,
        sentMs,
        answeringMs,
      });
    }
  }

  /** The fingerprint is left out while no crash is known, as it is costly. */
  #traits(request: RelayRequest): string[] {
    return this.#options.suspects.hasCrashes
      ? [...request.promptTraits, request.fingerprint()]
      : [...request.promptTraits];
  }
}
