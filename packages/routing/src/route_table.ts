import type {
  ClientAccount,
  RequestLimits,
  Route,
  RoutingConfig,
  ServiceSpec,
} from "./routing_config.ts";

/** Indexes one configuration version for lookups by host and path, service name
 * and API key. */
export class RouteTable {
  readonly version: number;
  readonly limits: RequestLimits;
  /** Whether requests need an API key, except on public routes. */
  readonly requiresApiKeys: boolean;
  readonly #routes = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, ServiceSpec>();
  readonly #accounts = new Map<string, ClientAccount>();
  readonly #targetLatenciesMs = new Map<string, number>();

  constructor(config: RoutingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.requiresApiKeys = config.accounts !== undefined;
    for (const route of config.routes) {
      let prefixes = this.#routes.get(route.host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.#routes.set(route.host, prefixes);
      }
      prefixes.set(route.prefix, route);
      this.#recordTargetLatency(route);
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
    for (const account of config.accounts ?? []) {
      account.keys.forEach((key) => this.#accounts.set(key, account));
    }
  }

  /**
   * The route of `host` with the longest prefix of `path`. `path` has no query;
   * `host` may include a port.
   */
  findRoute(host: string, path: string): Route | undefined {
    const prefixes = this.#routes.get(withoutPort(host).toLowerCase());
    if (prefixes === undefined) {
      return undefined;
    }
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** The client account that the API key belongs to. */
  account(key: string): ClientAccount | undefined {
    return this.#accounts.get(key);
  }

  /** The service with this name; undefined if the configuration has none. */
  service(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** Shortest target latency of the routes to the service, milliseconds;
   * infinite if no route sets one. */
  targetLatencyMs(service: string): number {
    return this.#targetLatenciesMs.get(service) ?? Number.POSITIVE_INFINITY;
  }

  /** All services of the configuration version. */
  services(): Iterable<ServiceSpec> {
    return this.#services.values();
  }

  #recordTargetLatency({ targets, targetLatencyMs }: Route): void {
    if (targetLatencyMs !== undefined) {
      for (const { service } of targets) {
        const shortest = Math.min(
          this.targetLatencyMs(service),
          targetLatencyMs,
        );
        this.#targetLatenciesMs.set(service, shortest);
      }
    }
  }
}

function withoutPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon > host.lastIndexOf("]") ? host.slice(0, colon) : host;
}
