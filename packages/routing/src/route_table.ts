import type {
  CallerLimits,
  ClientAccount,
  Route,
  RoutingConfig,
  ServiceSpec,
} from "./routing_config.ts";

/** One configuration version, indexed for look-ups. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly requiresKeys: boolean;
  readonly #routes = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, ServiceSpec>();
  readonly #accounts = new Map<string, ClientAccount>();
  readonly #targets = new Map<string, number>();

  constructor(config: RoutingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.requiresKeys = config.accounts !== undefined;
    for (const route of config.routes) {
      let prefixes = this.#routes.get(route.host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.#routes.set(route.host, prefixes);
      }
      prefixes.set(route.prefix, route);
      this.#noteTarget(route);
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
    for (const account of config.accounts ?? []) {
      account.keys.forEach((key) => this.#accounts.set(key, account));
    }
  }

  /**
   * The route with the longest prefix of `path`, a path without its query.
   * `host` may carry a port.
   */
  find(host: string, path: string): Route | undefined {
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

  /** The account that holds `key`. */
  account(key: string): ClientAccount | undefined {
    return this.#accounts.get(key);
  }

  /** The service of that name. */
  service(name: string): ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** Shortest target latency of the routes to the service, milliseconds;
   * infinite if no route names one. */
  targetLatencyMs(service: string): number {
    return this.#targets.get(service) ?? Number.POSITIVE_INFINITY;
  }

  /** All services. */
  services(): Iterable<ServiceSpec> {
    return this.#services.values();
  }

  #noteTarget({ targets, targetLatencyMs }: Route): void {
    if (targetLatencyMs !== undefined) {
      for (const { service } of targets) {
        const shortest = Math.min(
          this.targetLatencyMs(service),
          targetLatencyMs,
        );
        this.#targets.set(service, shortest);
      }
    }
  }
}

function withoutPort(host: string): string {
  const at = host.lastIndexOf(":");
  return at > host.lastIndexOf("]") ? host.slice(0, at) : host;
}
