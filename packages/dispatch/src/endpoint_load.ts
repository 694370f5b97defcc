/** Load that an endpoint reports in a response; a part that is missing or cannot
 * be read is undefined. */
export interface EndpointLoad {
  /** Requests that the endpoint executes. */
  running: number | undefined;
  /** Requests that wait for a slot. */
  waiting: number | undefined;
  /** Requests that the endpoint executes concurrently. */
  slots: number | undefined;
  /** How long work takes on the endpoint's VM at the moment, as a multiple of the
   * usual time. */
  slowness: number | undefined;
}
