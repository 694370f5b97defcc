import type { Route } from "@limpetshed/routing";

/** How one send of a request to an endpoint ended. */
export type SendOutcome =
  /** The whole answer is on its way to the caller. */
  | "delivered"
  /** No byte of the request left this node. */
  | "not_sent"
  /** The endpoint said that it did not run the request. */
  | "rejected"
  /** Another endpoint has the address; it did not run the request. */
  | "misdirected"
  /** The endpoint ran the request and answered with a failure. */
  | "failed"
  /** Sent, and no usable answer came: the request may have run. */
  | "lost"
  /** The answer broke off after its start had reached the caller. */
  | "broken";

/** What one request has used up so far. */
export interface AttemptCounts {
  /** Sends that count as an endpoint of the route's limit. */
  sends: number;
  /** Sends of which no byte reached an endpoint. */
  unsent: number;
}

/** Sends without effect after which a request is given up; each one costs a
 * connection attempt of the caller's time. */
const MAX_UNSENT = 4;

/** Whether the kind of request allows to run it again. */
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

/** Whether the request may go to another endpoint after `outcome`. The retry
 * allowance is asked apart. */
export function mayRetry(
  outcome: SendOutcome,
  { route, counts }: { route: Route; counts: AttemptCounts },
): boolean {
  switch (outcome) {
    case "delivered":
      return false;
    case "not_sent":
    case "misdirected":
      return counts.unsent < MAX_UNSENT;
    case "rejected":
      return counts.sends < route.maxAttempts;
    case "failed":
    case "lost":
    case "broken":
      return isRetryable(route) && counts.sends < route.maxAttempts;
  }
}
