/** What the bound on one endpoint's load depends on. */
export interface LimitInputs {
  /** Bound as a multiple of the mean load. */
  loadMultiple: number;
  /** Requests open on all in-service endpoints of the service. */
  totalInFlight: number;
  /** Endpoints in service. */
  endpoints: number;
  /** Most requests open at once on one endpoint. */
  maxInFlight: number;
}

/**
 * Most requests that may be open on one endpoint once the next is admitted:
 * the multiple of the mean before it, rounded down, but never less than the
 * mean after it, rounded up, without which it would fit nowhere. Leaving the
 * next request out of the multiple makes up for grants not used yet.
 */
export function loadLimit(
  { loadMultiple, totalInFlight, endpoints, maxInFlight }: LimitInputs,
): number {
  const count = Math.max(1, endpoints);
  const bound = Math.max(
    1,
    Math.floor(loadMultiple * totalInFlight / count),
    Math.ceil((totalInFlight + 1) / count),
  );
  return Math.min(maxInFlight, bound);
}

/** How fast a cold endpoint may be loaded. */
export interface ColdStart {
  /** Requests that a cold endpoint bears at once. */
  initial: number;
  /** Completed requests per further request that it bears. */
  completedPerStep: number;
}

/** Requests that an endpoint bears after `completed` requests. */
export function coldStartLimit(
  { initial, completedPerStep }: ColdStart,
  completed: number,
): number {
  return initial + Math.floor(completed / completedPerStep);
}
