import type { Route } from "@limpetshed/routing";

/** Outcome of one attempt to send a request to an endpoint. */
export type SendOutcome =
  /** The complete response was passed to the caller. */
  | "delivered"
  /** No byte of the request was sent. */
  | "not_sent"
  /** The endpoint reported that it did not execute the request. */
  | "rejected"
  /** The address now belongs to another endpoint, which did not execute the
   * request. */
  | "misdirected"
  /** The endpoint executed the request and returned an error. */
  | "failed"
  /** Sent without a usable response: the request may have been executed. */
  | "lost"
  /** The response was cut off after its start had reached the caller. */
  | "broken"
  /** Ended as another attempt of the request answered it: the request may have
   * been executed. */
  | "cancelled";

/** Attempts that one request has used so far. */
export interface AttemptCounts {
  /** Attempts that count towards the route's `maxAttempts`. */
  sends: number;
  /** Attempts that were not sent or were misdirected. */
  unsent: number;
}

/** Limit on attempts that were not sent or were misdirected: each costs the
 * caller the time of a connection attempt. */
const MAX_UNSENT_ATTEMPTS = 4;

/** Whether requests of this route may be executed more than once. */
export function isRetryable({ kind, resumable }: Route): boolean {
  switch (kind) {
    case "safe":
      return true;
    case "stream":
      return resumable;
    case "unsafe":
      return false;
  }
}

/** Whether the request may be sent to another endpoint after `outcome`. The
 * caller checks the retry budget separately. */
export function mayRetry(
  outcome: SendOutcome,
  { route, counts }: { route: Route; counts: AttemptCounts },
): boolean {
  switch (outcome) {
    case "delivered":
    case "cancelled":
      return false;
    case "not_sent":
    case "misdirected":
      return counts.unsent < MAX_UNSENT_ATTEMPTS;
    case "rejected":
      return counts.sends < route.maxAttempts;
    case "failed":
    case "lost":
    case "broken":
      return isRetryable(route) && counts.sends < route.maxAttempts;
  }
}
