/** Properties that an endpoint publishes about itself. */
export interface EndpointEntry {
  id: string;
  service: string;
  /** `ip:port`. */
  address: string;
  availabilityZone: string;
  /** Requests that the endpoint executes concurrently. */
  slots: number;
  /** A leaving endpoint completes its requests and gets no new ones. */
  state: "ready" | "leaving";
  /** Time for which the endpoint is still cold when it publishes the entry,
   * milliseconds; 0 if warm. A cold endpoint has started recently and can serve
   * only a limited request rate. */
  coldMs: number;
  /** Start time, to tell restarts apart; 0 if not published. */
  startedMs: number;
  /** Number of the entry since that start; undefined if not published. */
  sequence?: number;
  /** Version of the endpoint's software, not of its model's weights; undefined
   * if not published. */
  softwareVersion?: string;
}
