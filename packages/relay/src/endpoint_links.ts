import type { Clock } from "@limpetshed/base";
import { EndpointPaths, type PathChange } from "@limpetshed/dispatch";
import { type Logger, LogRateLimiter } from "@limpetshed/observe";
import { ConnectionPool } from "./connection_pool.ts";
import { DetourConnector } from "./detour_connector.ts";
import type { EndpointConnector } from "./endpoint_connector.ts";
import type { HelperTunnels } from "./helper_tunnels.ts";
import { LivenessProbe } from "./liveness_probe.ts";
import type { RelayObserver } from "./relay_observer.ts";

/** Options of {@linkcode EndpointLinks}. */
export interface EndpointLinksOptions {
  clock: Clock;
  logger: Logger;
  observer: RelayObserver;
  /** Opens connections over this node's own links. */
  direct: EndpointConnector;
  tunnels: HelperTunnels;
}

/** The connections of a node to endpoints and the paths that they take. */
export class EndpointLinks {
  readonly pool: ConnectionPool;
  readonly livenessProbe: LivenessProbe;
  readonly paths: EndpointPaths;
  readonly #options: EndpointLinksOptions;
  readonly #connector: DetourConnector;
  readonly #logBudget: LogRateLimiter;

  constructor(options: EndpointLinksOptions) {
    this.#options = options;
    const { clock, logger, direct, tunnels } = options;
    this.#logBudget = new LogRateLimiter({ clock });
    this.paths = new EndpointPaths({
      clock,
      onChange: (change) => this.#applyChange(change),
    });
    const connector = new DetourConnector({
      clock,
      direct,
      tunnels,
      paths: this.paths,
      onError: (err) => logger.error({ event: "path_probe", err }),
    });
    this.#connector = connector;
    this.pool = new ConnectionPool({ clock, connector });
    this.livenessProbe = new LivenessProbe({
      clock,
      askElsewhere: (address) => connector.livenessElsewhere(address),
    });
  }

  /** Discards what is known of an address, and closes its idle connections. */
  forget(address: string): void {
    this.pool.closeIdle(address);
    this.paths.forget(address);
  }

  /** Closes all connections. */
  close(): void {
    this.pool.close();
    this.livenessProbe.close();
    void this.#connector.close();
  }

  /** Idle connections on a cut path are not used: they may be silent. */
  #applyChange({ address, state, ...counts }: PathChange): void {
    if (state === "detour") {
      if (address === undefined) {
        this.pool.closeAllIdle();
      } else {
        this.pool.closeIdle(address);
      }
    }
    const { logger, observer } = this.#options;
    observer.pathChanged(state);
    const event = address === undefined
      ? "all_endpoint_paths"
      : "endpoint_path";
    const suppressed = this.#logBudget.tryAcquire(event);
    if (suppressed !== undefined) {
      logger.warn({
        event,
        outcome: state,
        address,
        ...counts,
        ...(suppressed === 0 ? {} : { suppressed }),
      });
    }
  }
}
