import VError from "verror";
import {
  ERROR_RESPONSES,
  type ErrorKind,
  type RunState,
} from "./error_kinds.ts";

/** Options of {@linkcode RouterError}. */
export interface RouterErrorOptions {
  /** Underlying error; logged, but never sent to callers. */
  cause?: unknown;
  /** Overrides the default run state of the kind. */
  run?: RunState;
  /** Delay before a retry may succeed, in milliseconds. */
  retryAfterMs?: number;
  /** Individual faults, for errors that report several. */
  faults?: readonly string[];
  /** Additional fields of the response body, such as the current version. */
  details?: Readonly<Record<string, string | number>>;
}

/** Error with a kind; the only error type whose message is sent to callers. */
export class RouterError extends VError {
  readonly kind: ErrorKind;
  /** Message without the messages of its causes; safe to send to callers. */
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
    this.run = run ?? ERROR_RESPONSES[kind].run;
    this.retryAfterMs = retryAfterMs;
    this.faults = faults;
    this.details = details;
  }

  /** HTTP status of the response. */
  get status(): number {
    return ERROR_RESPONSES[this.kind].status;
  }
}

/** Returns a {@linkcode RouterError} as is; wraps any other as `internal`. */
export function toRouterError(err: unknown): RouterError {
  if (err instanceof RouterError) {
    return err;
  }
  return new RouterError("internal", "internal error", { cause: err });
}

/** Whether `err` is a {@linkcode RouterError} of one of `kinds`. */
export function hasErrorKind(err: unknown, ...kinds: ErrorKind[]): boolean {
  return err instanceof RouterError && kinds.includes(err.kind);
}
