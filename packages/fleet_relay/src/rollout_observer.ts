import type { VersionAnswer } from "@limpetshed/dispatch";
import {
  type AbortReason,
  type SendRecord,
  TelemetryObserver,
  type TelemetryObserverOptions,
} from "@limpetshed/relay";

/** Options of {@linkcode RolloutObserver}. */
export interface RolloutObserverOptions extends TelemetryObserverOptions {
  onAnswer: (answer: VersionAnswer) => void;
}

const FIRST_SERVER_ERROR_STATUS = 500;

/** Passes the answers of endpoints on as evidence about their versions. */
export class RolloutObserver extends TelemetryObserver {
  readonly #onAnswer: (answer: VersionAnswer) => void;

  constructor({ onAnswer, ...options }: RolloutObserverOptions) {
    super(options);
    this.#onAnswer = onAnswer;
  }

  override attemptEnded(record: SendRecord): void {
    super.attemptEnded(record);
    const answer = toVersionAnswer(record);
    if (answer !== undefined) {
      this.#onAnswer(answer);
    }
  }
}

/** What an attempt says of the endpoint's version; undefined if nothing: it was
 * refused, or its caller left. */
export function toVersionAnswer(
  { request, endpoint, result }: Pick<
    SendRecord,
    "request" | "endpoint" | "result"
  >,
): VersionAnswer | undefined {
  const { outcome, sentMs, status = 0, headMs = 0, answeringMs = 0 } = result;
  if (sentMs === undefined) {
    return undefined;
  }
  const answer = { endpoint, route: request.route.name, sentMs };
  if (outcome === "delivered") {
    const isFailed = status >= FIRST_SERVER_ERROR_STATUS;
    return { ...answer, isFailed, durationMs: headMs + answeringMs };
  }
  if (outcome === "failed") {
    return { ...answer, isFailed: true, durationMs: undefined };
  }
  if (outcome !== "lost" && outcome !== "broken") {
    return undefined;
  }
  const { aborted } = request.signal;
  const reason = request.signal.reason as AbortReason | undefined;
  if (aborted && reason !== "time_over") {
    return undefined;
  }
  const durationMs = aborted ? Number.POSITIVE_INFINITY : undefined;
  return { ...answer, isFailed: true, durationMs };
}
