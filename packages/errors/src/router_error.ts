import VError from "verror";
import { ERROR_ANSWERS, type ErrorKind, type RunState } from "./error_kinds.ts";

/** Options of {@linkcode RouterError}. */
export interface RouterErrorOptions {
  /** What led to this error; kept for logs, never sent to callers. */
  cause?: unknown;
  /** Run state where it differs from the kind's own. */
  run?: RunState;
  /** Milliseconds after which a retry has a chance. */
  retryAfterMs?: number;
  /** Each fault found, for errors that report several. */
  faults?: readonly string[];
  /** Further fields of the answer's body, such as the current version. */
  details?: Readonly<Record<string, string | number>>;
}

/** An error of a known kind; the only error that reaches callers. */
export class RouterError extends VError {
  readonly kind: ErrorKind;
  /** The message without those of its causes; safe to send to callers. */
  readonly summary: string;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;
  readonly faults: readonly string[];
  readonly details: Readonly<Record<string, string | number>>;

  constructor(
    kind: ErrorKind,
    message: string,
    { cause, run, retryAfterMs, faults = [], details = {} }:
      RouterErrorOptions = {},
  ) {
    const causeErr = cause instanceof Error ? cause : undefined;
    super({ name: "RouterError", cause: causeErr }, "%s", message);
    this.kind = kind;
    this.summary = message;
    this.run = run ?? ERROR_ANSWERS[kind].run;
    this.retryAfterMs = retryAfterMs;
    this.faults = faults;
    this.details = details;
  }

  /** HTTP status of the answer. */
  get status(): number {
    return ERROR_ANSWERS[this.kind].status;
  }
}

/** Returns `err` itself if it has a kind, else wraps it as `internal`. */
export function toRouterError(err: unknown): RouterError {
  if (err instanceof RouterError) {
    return err;
  }
  return new RouterError("internal", "internal error", { cause: err });
}

/** Whether `err` is a {@linkcode RouterError} of one of `kinds`. */
export function isKind(err: unknown, ...kinds: ErrorKind[]): boolean {
  return err instanceof RouterError && kinds.includes(err.kind);
}
