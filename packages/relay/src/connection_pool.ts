import type { Clock } from "@limpetshed/base";
import { EndpointConnection } from "./endpoint_connection.ts";

/** Options of {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  clock: Clock;
  /** Longest time for a connection to open, milliseconds. */
  connectTimeoutMs?: number;
}

/** Several round trips between availability zones, and below the smallest
 * target latency. */
const CONNECT_TIMEOUT_MS = 400;
/** A request that must not run twice uses only connections used this recently,
 * since one that the endpoint has dropped unnoticed would leave it unknown
 * whether it ran. */
const FRESH_IDLE_MS = 1_000;
/** Idle connections kept for each endpoint. */
const MAX_IDLE = 8;

/** Connections to endpoints, by address. */
export class ConnectionPool {
  readonly #clock: Clock;
  readonly #connectTimeoutMs: number;
  readonly #idle = new Map<string, EndpointConnection[]>();
  readonly #open = new Map<string, Set<EndpointConnection>>();

  constructor(
    { clock, connectTimeoutMs = CONNECT_TIMEOUT_MS }: ConnectionPoolOptions,
  ) {
    this.#clock = clock;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Connections open to `address`, idle ones included. */
  openCount(address: string): number {
    return this.#open.get(address)?.size ?? 0;
  }

  /** A connection for one exchange. */
  take(
    address: string,
    { repeatable }: { repeatable: boolean },
  ): EndpointConnection {
    const idle = this.#idle.get(address) ?? [];
    for (let last = idle.pop(); last !== undefined; last = idle.pop()) {
      if (last.isOpen && (repeatable || last.idleMs <= FRESH_IDLE_MS)) {
        return last;
      }
      last.close();
    }
    return this.#connect(address);
  }

  /** Gives back a connection whose exchange is complete. */
  giveBack(address: string, connection: EndpointConnection): void {
    if (!connection.isOpen) {
      return;
    }
    let idle = this.#idle.get(address);
    if (idle === undefined) {
      idle = [];
      this.#idle.set(address, idle);
    }
    idle.push(connection);
    if (idle.length > MAX_IDLE) {
      idle.shift()?.close();
    }
  }

  /** Closes idle connections to an address that is no longer used. */
  forget(address: string): void {
    const idle = this.#idle.get(address) ?? [];
    this.#idle.delete(address);
    idle.forEach((connection) => connection.close());
  }

  /** Closes every connection. */
  close(): void {
    for (const connections of this.#open.values()) {
      [...connections].forEach((connection) => connection.close());
    }
  }

  #connect(address: string): EndpointConnection {
    let open = this.#open.get(address);
    if (open === undefined) {
      open = new Set();
      this.#open.set(address, open);
    }
    const connection: EndpointConnection = new EndpointConnection({
      clock: this.#clock,
      address,
      connectTimeoutMs: this.#connectTimeoutMs,
      onClose: () => this.#closed(address, connection),
    });
    open.add(connection);
    return connection;
  }

  #closed(address: string, connection: EndpointConnection): void {
    const open = this.#open.get(address);
    open?.delete(connection);
    if (open?.size === 0) {
      this.#open.delete(address);
    }
    const idle = this.#idle.get(address);
    const at = idle?.indexOf(connection) ?? -1;
    if (at >= 0) {
      idle!.splice(at, 1);
    }
    if (idle?.length === 0) {
      this.#idle.delete(address);
    }
  }
}
