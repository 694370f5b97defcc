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
 * including the one to be admitted. It is a multiple of the current mean load,
 * rounded down, but at least the mean including the new request, rounded up;
 * otherwise the request might fit on no endpoint. The mean that is multiplied
 * does not include the new request: the lower limit compensates for admissions
 * that were granted but not yet used.
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

/** Cold-start settings: how the limit of a cold endpoint grows. */
export interface ColdStart {
  /** Maximum in-flight requests before any request has completed. */
  initialLimit: number;
  /** Completed requests that raise the maximum by one. */
  completedPerStep: number;
}

/** Cold-start limit of an endpoint that has completed `completed` requests. */
export function coldStartLimit(
  { initialLimit, completedPerStep }: ColdStart,
  completed: number,
): number {
  return initialLimit + Math.floor(completed / completedPerStep);
}
