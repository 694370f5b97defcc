import {
  type Clock,
  errorText,
  repeat,
  type RepeatingTask,
  sleep,
} from "@limpetshed/base";
import type { EndpointPaths } from "@limpetshed/dispatch";
import {
  type ConnectRequest,
  EndpointConnector,
  type OpenedConnection,
  REFUSED_CODE,
} from "./endpoint_connector.ts";
import { type HelperTunnels, TunnelError } from "./helper_tunnels.ts";
import type { ElsewhereLiveness } from "./liveness_probe.ts";

/** Options of {@linkcode DetourConnector}. */
export interface DetourConnectorOptions {
  clock: Clock;
  direct: EndpointConnector;
  tunnels: HelperTunnels;
  paths: EndpointPaths;
  onError: (err: unknown) => void;
}

/** Time after which the other way is tried as well; many round trips between
 * availability zones, and no more than the shortest target latency. */
const HEAD_START_MS = 100;
const PROBE_TIMEOUT_MS = 300;
const PROBE_INTERVAL_MS = 250;

/**
 * Opens connections over this node's own links or, where these are cut, by way of
 * another node. The way that is less likely to work is tried later, or at once when
 * the other has failed; the first connection established is used.
 */
export class DetourConnector extends EndpointConnector {
  readonly #options: DetourConnectorOptions;
  readonly #closing = new AbortController();
  readonly #probes: RepeatingTask;

  constructor(options: DetourConnectorOptions) {
    super();
    this.#options = options;
    this.#probes = repeat(options.clock, () => this.#probe(), {
      intervalMs: PROBE_INTERVAL_MS,
      onError: options.onError,
    });
  }

  connect(req: ConnectRequest): Promise<OpenedConnection> {
    return this.#options.paths.stateOf(req.address) === "direct"
      ? this.#connectDirectFirst(req)
      : this.#connectByHelperFirst(req);
  }

  /** Resolves to what other nodes find out about the endpoint at `ip:port`, to which
   * this node cannot connect. */
  async livenessElsewhere(address: string): Promise<ElsewhereLiveness> {
    const { tunnels, paths } = this.#options;
    try {
      const { socket } = await tunnels.open(address, {
        signal: this.#closing.signal,
      });
      socket.destroy();
      paths.recordCut(address);
      return "alive";
    } catch (err) {
      const failure = failureOf(err);
      return failure === "unreachable" ? "unknown" : failure;
    }
  }

  /** Stops probing. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.#probes.close();
  }

  async #connectDirectFirst(req: ConnectRequest): Promise<OpenedConnection> {
    const { paths } = this.#options;
    const direct = this.#connectDirect(req);
    const first = await this.#settledWithin(direct, HEAD_START_MS);
    if (first !== undefined && "connection" in first) {
      return first.connection;
    }
    const tunnel = this.#connectByHelper(req);
    const winner = await firstConnected([direct, tunnel]);
    if (winner === undefined) {
      throw await this.#failure(direct, tunnel);
    }
    if (winner.isDetour) {
      void outcomeOf(direct).then((result) => {
        if ("connection" in result) {
          result.connection.socket.destroy();
        } else if (!req.signal.aborted) {
          paths.recordCut(req.address);
        }
      });
    } else {
      discard(tunnel);
    }
    return winner;
  }

  async #connectByHelperFirst(req: ConnectRequest): Promise<OpenedConnection> {
    const tunnel = this.#connectByHelper(req);
    const first = await this.#settledWithin(tunnel, HEAD_START_MS);
    if (first !== undefined && "connection" in first) {
      return first.connection;
    }
    const direct = this.#connectDirect(req);
    const winner = await firstConnected([tunnel, direct]);
    if (winner === undefined) {
      throw await this.#failure(direct, tunnel);
    }
    discard(winner.isDetour ? direct : tunnel);
    return winner;
  }

  async #connectDirect(req: ConnectRequest): Promise<OpenedConnection> {
    const { direct, paths } = this.#options;
    const connection = await direct.connect(req);
    paths.recordDirect(req.address);
    return connection;
  }

  async #connectByHelper(
    { address, signal }: ConnectRequest,
  ): Promise<OpenedConnection> {
    const tunnel = await this.#options.tunnels.open(address, { signal });
    return { ...tunnel, isDetour: true };
  }

  /** The outcome of `work` if it settles in time. */
  async #settledWithin(
    work: Promise<OpenedConnection>,
    ms: number,
  ): Promise<Outcome | undefined> {
    const timeout = new AbortController();
    const result = await Promise.race([
      outcomeOf(work),
      sleep(this.#options.clock, ms, { signal: timeout.signal }),
    ]);
    timeout.abort();
    return result ?? undefined;
  }

  /** The error of this node's own connection. It says that the connection was
   * refused only if the helpers were refused as well, or there are none. */
  async #failure(
    direct: Promise<OpenedConnection>,
    tunnel: Promise<OpenedConnection>,
  ): Promise<Error> {
    const [own, others] = await Promise.all([
      outcomeOf(direct),
      outcomeOf(tunnel),
    ]);
    const err = "err" in own ? own.err : new Error("not connected");
    const isRefused = (err as NodeJS.ErrnoException).code === REFUSED_CODE;
    const failure = "err" in others ? failureOf(others.err) : undefined;
    return isRefused && failure === "unreachable"
      ? new Error(`${err.message}, and ${failure} by way of other nodes`)
      : err;
  }

  #probe(): void {
    const { direct, paths } = this.#options;
    for (const address of paths.takeProbes()) {
      direct.connect({
        address,
        timeoutMs: PROBE_TIMEOUT_MS,
        signal: this.#closing.signal,
      }).then(
        ({ socket }) => {
          socket.destroy();
          paths.recordProbe(address, true);
        },
        () => paths.recordProbe(address, false),
      );
    }
  }
}

type Outcome = { connection: OpenedConnection } | { err: Error };

function outcomeOf(work: Promise<OpenedConnection>): Promise<Outcome> {
  return work.then(
    (connection) => ({ connection }),
    (err: unknown) => ({
      err: err instanceof Error ? err : new Error(errorText(err)),
    }),
  );
}

/** The first connection to be established; undefined if there is none. */
function firstConnected(
  attempts: readonly Promise<OpenedConnection>[],
): Promise<OpenedConnection | undefined> {
  return Promise.any(attempts).catch(() => undefined);
}

/** Closes a connection that is not needed if it is established all the same. */
function discard(attempt: Promise<OpenedConnection>): void {
  attempt.then(({ socket }) => socket.destroy(), () => undefined);
}

function failureOf(err: unknown): TunnelError["failure"] {
  return err instanceof TunnelError ? err.failure : "unreachable";
}
