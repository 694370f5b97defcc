/** What an endpoint says of itself. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** `ip:port`. */
  address: string;
  availabilityZone: string;
  /** Requests that the endpoint works on at a time. */
  slots: number;
  state: "ready" | "leaving";
  /** How long the endpoint stays cold from now, milliseconds; 0 if warm. */
  coldMs: number;
  /** Tells one start of the endpoint from the next; 0 if it does not say. */
  startedMs: number;
}
