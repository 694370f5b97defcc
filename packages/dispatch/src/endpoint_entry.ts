/** Properties that an endpoint publishes about itself. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** `ip:port`. */
  address: string;
  availabilityZone: string;
  /** Requests that the endpoint executes concurrently. */
  slots: number;
  state: "ready" | "leaving";
  /** Remaining time for which the endpoint is cold, milliseconds; 0 if warm. */
  coldMs: number;
  /** Start time, to tell restarts apart; 0 if not published. */
  startedMs: number;
}
