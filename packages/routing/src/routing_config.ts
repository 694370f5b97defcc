/** What may be repeated: `stream` answers are events and count as `unsafe`
 * unless the route is resumable. */
export type CallKind = "safe" | "unsafe" | "stream";

/** One of the services that a route sends to. */
export interface RouteTarget {
  service: string;
  /** Relative share of the route's requests, 0 or more. */
  weight: number;
}

/** Requests of one host and path prefix. */
export interface Route {
  name: string;
  /** Host name, lower case, without a port. */
  host: string;
  /** Path prefix; begins and ends with a slash. */
  prefix: string;
  kind: CallKind;
  /** Whether a broken stream may go on at another endpoint. */
  resumable: boolean;
  /** Longest time a caller may be kept, milliseconds. */
  timeoutMs: number;
  /** Time within which callers want the start of an answer, milliseconds;
   * undefined if they do not say. */
  targetLatencyMs: number | undefined;
  /** Rank, 0 is most urgent. */
  priority: number;
  /** Most endpoints that one request may be sent to. */
  maxAttempts: number;
  /** Whether requests need no key. */
  isPublic: boolean;
  targets: readonly RouteTarget[];
}

/** What the configuration says of one service. */
export interface ServiceSpec {
  name: string;
  /** Connections that one endpoint accepts from all nodes together. */
  maxConnections: number;
  /** Requests a second that a cold endpoint bears; 0 for no limit. */
  coldRequestsPerS: number;
  /** Tokens an endpoint's cache and runs may hold; 0 for plain services. */
  cacheTokens: number;
}

/** A client account and the keys that name it. */
export interface ClientAccount {
  name: string;
  keys: readonly string[];
  /** Takes precedence over a route's priority. */
  priority: number | undefined;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface RoutingConfig {
  version: number;
  routes: readonly Route[];
  services: readonly ServiceSpec[];
  /** Undefined when requests carry no keys. */
  accounts: readonly ClientAccount[] | undefined;
  limits: CallerLimits;
}
