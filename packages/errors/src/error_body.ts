import { ERROR_RESPONSES } from "./error_kinds.ts";
import type { RouterError } from "./router_error.ts";

/** Response header that carries the run state. */
export const RUN_STATE_HEADER = "x-limpetshed-run";

/** Body of every error response; the same for callers and operators. */
export interface ErrorBody {
  error: {
    type: string;
    message: string;
    run: string;
    retry: boolean;
    request_id?: string;
    retry_after_ms?: number;
    faults?: readonly string[];
    details?: Readonly<Record<string, string | number>>;
  };
}

/** Builds the response body for `err`, without causes: they may hold secrets. */
export function errorBody(
  err: RouterError,
  { requestId }: { requestId?: string } = {},
): ErrorBody {
  const detailCount = Object.keys(err.details).length;
  return {
    error: {
      type: err.kind,
      message: err.summary,
      run: err.run,
      retry: ERROR_RESPONSES[err.kind].retryable,
      ...(requestId === undefined ? {} : { request_id: requestId }),
      ...(err.retryAfterMs === undefined
        ? {}
        : { retry_after_ms: Math.ceil(err.retryAfterMs) }),
      ...(err.faults.length === 0 ? {} : { faults: err.faults }),
      ...(detailCount === 0 ? {} : { details: err.details }),
    },
  };
}
