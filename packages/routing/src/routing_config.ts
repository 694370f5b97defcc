/** Determines whether requests of a route may be retried. `stream` responses are
 * event streams; they are treated as `unsafe` unless the route is resumable. */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service that a route forwards requests to, with its weight. */
export interface RouteTarget {
  service: string;
  /** Relative share of the route's requests; not negative. */
  weight: number;
}

/** Rules for the requests to one host and path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Path prefix; starts and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Whether an interrupted stream may be resumed on another endpoint. */
  resumable: boolean;
  /** Maximum time for a request, milliseconds. */
  timeoutMs: number;
  /** Time within which the response should start, milliseconds; undefined if
   * there is no target. */
  targetLatencyMs: number | undefined;
  /** 0 is most urgent. */
  priority: number;
  /** Maximum number of endpoints that one request may be sent to. */
  maxAttempts: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  targets: readonly RouteTarget[];
}

/** Configuration of one service. */
export interface ServiceSpec {
  name: string;
  /** Maximum connections to one endpoint from all nodes together. */
  maxConnections: number;
  /** Requests per second that a cold endpoint can serve; 0 for no limit. */
  coldRequestsPerS: number;
  /** Capacity of an endpoint's KV cache in tokens, shared by cached prompts and
   * running requests; 0 for services without prompts. */
  cacheTokens: number;
}

/** A client account and the API keys that identify it. */
export interface ClientAccount {
  name: string;
  keys: readonly string[];
  /** Overrides the priority of the route. */
  priority: number | undefined;
}

/** Limits on the size and duration of client requests. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the complete configuration. */
export interface RoutingConfig {
  version: number;
  routes: readonly Route[];
  services: readonly ServiceSpec[];
  /** Undefined if requests need no API keys. */
  accounts: readonly ClientAccount[] | undefined;
  limits: RequestLimits;
}
