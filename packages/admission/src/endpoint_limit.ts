/** Inputs of the in-flight limit of an endpoint. */
export interface LimitInputs {
  /** Limit as a multiple of the mean load per endpoint. */
  loadMultiple: number;
  /** Requests in flight on all in-service endpoints of the service. */
  totalInFlight: number;
  /** Number of in-service endpoints. */
  endpoints: number;
  /** Configured maximum of requests in flight on one endpoint. */
  maxInFlight: number;
}

/**
 * Bounded-load limit: the maximum number of requests in flight on an endpoint,
 * including the one to be admitted. It is a multiple of the current mean,
 * rounded down, but at least the mean including the new request, rounded up;
 * otherwise the request might fit on no endpoint. The multiple excludes the
 * new request to compensate for admissions that were granted but not yet used.
 */
export function loadLimit(
  { loadMultiple, totalInFlight, endpoints, maxInFlight }: LimitInputs,
): number {
  const endpointCount = Math.max(1, endpoints);
  const bound = Math.max(
    1,
    Math.floor(loadMultiple * totalInFlight / endpointCount),
    Math.ceil((totalInFlight + 1) / endpointCount),
  );
  return Math.min(maxInFlight, bound);
}

/** Slow-start settings for a cold endpoint. */
export interface ColdStart {
  /** Maximum in-flight requests before any request has completed. */
  initial: number;
  /** Completed requests that raise the maximum by one. */
  completedPerStep: number;
}

/** Cold-start limit of an endpoint after `completed` requests. */
export function coldStartLimit(
  { initial, completedPerStep }: ColdStart,
  completed: number,
): number {
  return initial + Math.floor(completed / completedPerStep);
}
