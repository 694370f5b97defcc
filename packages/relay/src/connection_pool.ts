import type { Clock } from "@limpetshed/base";
import type { EndpointConnector } from "./endpoint_connector.ts";
import { EndpointConnection } from "./endpoint_connection.ts";

/** Options of {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  clock: Clock;
  connector: EndpointConnector;
  /** Connect timeout, milliseconds. */
  connectTimeoutMs?: number;
}

/** Decides whether the endpoint that a connection reaches is the one that was
 * chosen: another process may have its address since. */
export interface ConnectionVerifier {
  /** Whether that is known of a connection established at `openedMs`, a monotonic
   * time. */
  accepts(openedMs: number): boolean;
  /** Finds it out for a new connection. */
  verify(openedMs: number): Promise<boolean>;
}

/** Options of {@linkcode ConnectionPool.acquire}. */
export interface AcquireOptions {
  /** Whether the request may run twice. */
  repeatable: boolean;
  requestId: string;
  /** All connections to the address are accepted if undefined. */
  verifier?: ConnectionVerifier;
  /** Whether the request may still be sent, once a new connection is
   * established. */
  maySend?: () => boolean;
}

/** Allows several round trips between availability zones and is below the
 * smallest target latency. */
const CONNECT_TIMEOUT_MS = 400;
/** Maximum idle time of a connection used for a request that must not run
 * twice. The endpoint may have closed an older one unnoticed, which would leave
 * it unknown whether the request ran. */
const MAX_NON_REPEATABLE_IDLE_MS = 1_000;
const MAX_IDLE_PER_ADDRESS = 8;

/** Pools connections to endpoints by address. */
export class ConnectionPool {
  readonly #clock: Clock;
  readonly #connector: EndpointConnector;
  readonly #connectTimeoutMs: number;
  readonly #idle = new Map<string, EndpointConnection[]>();
  readonly #open = new Map<string, Set<EndpointConnection>>();

  constructor(
    { clock, connector, connectTimeoutMs = CONNECT_TIMEOUT_MS }:
      ConnectionPoolOptions,
  ) {
    this.#clock = clock;
    this.#connector = connector;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Number of open connections to `address`, including idle ones. */
  openCount(address: string): number {
    return this.#open.get(address)?.size ?? 0;
  }

  /** Returns an idle connection that may carry the request, most recently used
   * first, or opens a new one. */
  acquire(address: string, options: AcquireOptions): EndpointConnection {
    const { repeatable, requestId, verifier, maySend } = options;
    const idle = this.#idle.get(address) ?? [];
    for (const connection of [...idle].reverse()) {
      const isUsable = connection.isOpen &&
        (repeatable || connection.idleMs <= MAX_NON_REPEATABLE_IDLE_MS);
      if (!isUsable) {
        connection.close();
      } else if (
        connection.mayCarry(requestId) &&
        verifier?.accepts(connection.openedMs) !== false
      ) {
        idle.splice(idle.indexOf(connection), 1);
        return connection;
      }
    }
    return this.#connect(address, { verifier, maySend });
  }

  /** Returns a connection to the pool after its exchange is complete. */
  release(address: string, connection: EndpointConnection): void {
    if (!connection.isOpen) {
      return;
    }
    if (connection.isDetour || connection.isWornOut) {
      connection.close();
      return;
    }
    let idle = this.#idle.get(address);
    if (idle === undefined) {
      idle = [];
      this.#idle.set(address, idle);
    }
    idle.push(connection);
    if (idle.length > MAX_IDLE_PER_ADDRESS) {
      idle.shift()?.close();
    }
  }

  /** Closes the idle connections to `address`. */
  closeIdle(address: string): void {
    const idle = this.#idle.get(address) ?? [];
    this.#idle.delete(address);
    idle.forEach((connection) => connection.close());
  }

  /** Closes the idle connections to all addresses. */
  closeAllIdle(): void {
    [...this.#idle.keys()].forEach((address) => this.closeIdle(address));
  }

  /** Closes all connections, including those in use. */
  close(): void {
    for (const connections of this.#open.values()) {
      [...connections].forEach((connection) => connection.close());
    }
  }

  #connect(
    address: string,
    { verifier, maySend }: Pick<AcquireOptions, "verifier" | "maySend">,
  ): EndpointConnection {
    let open = this.#open.get(address);
    if (open === undefined) {
      open = new Set();
      this.#open.set(address, open);
    }
    const connection: EndpointConnection = new EndpointConnection({
      clock: this.#clock,
      connector: this.#connector,
      address,
      connectTimeoutMs: this.#connectTimeoutMs,
      verify: verifier && ((openedMs) => verifier.verify(openedMs)),
      maySend,
      onClose: () => this.#remove(address, connection),
    });
    open.add(connection);
    return connection;
  }

  #remove(address: string, connection: EndpointConnection): void {
    const open = this.#open.get(address);
    open?.delete(connection);
    if (open?.size === 0) {
      this.#open.delete(address);
    }
    const idle = this.#idle.get(address);
    const index = idle?.indexOf(connection) ?? -1;
    if (index >= 0) {
      idle!.splice(index, 1);
    }
    if (idle?.length === 0) {
      this.#idle.delete(address);
    }
  }
}
