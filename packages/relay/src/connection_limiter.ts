import type { Socket } from "node:net";

/** Options of {@linkcode ConnectionLimiter}. */
export interface ConnectionLimiterOptions {
  /** Connections that may be open at once. */
  maxConnections: number;
}

/** A connection of a client. */
export type ClientSocket = Pick<Socket, "destroy" | "once">;

/**
 * Bounds the connections of clients, under many that are opened and never used to
 * their end. A new one takes the place of the one that waits longest for its
 * client: idle, or in the middle of a request that has not arrived.
 */
export class ConnectionLimiter {
  readonly #maxConnections: number;
  /** Connections that wait for their clients, longest first. */
  readonly #waiting = new Set<ClientSocket>();
  /** Number of requests in progress by connection. */
  readonly #busy = new Map<ClientSocket, number>();
  #shedCount = 0;

  constructor({ maxConnections }: ConnectionLimiterOptions) {
    this.#maxConnections = maxConnections;
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.#waiting.size + this.#busy.size;
  }

  /** Number of connections closed since the start to make room. */
  get shedCount(): number {
    return this.#shedCount;
  }

  /** Takes a new connection in, and closes one if there are too many. */
  add(socket: ClientSocket): void {
    this.#waiting.add(socket);
    socket.once("close", () => this.#forget(socket));
    if (this.openCount > this.#maxConnections) {
      const [oldest] = this.#waiting;
      if (oldest !== undefined) {
        this.#shedCount += 1;
        this.#forget(oldest);
        oldest.destroy();
      }
    }
  }

  /** A request has arrived whole; the function that it returns ends it. */
  begin(socket: ClientSocket): () => void {
    if (!this.#waiting.delete(socket) && !this.#busy.has(socket)) {
      return () => undefined;
    }
    this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
    return () => this.#end(socket);
  }

  #end(socket: ClientSocket): void {
    const requests = this.#busy.get(socket);
    if (requests === undefined) {
      return;
    }
    if (requests > 1) {
      this.#busy.set(socket, requests - 1);
      return;
    }
    this.#busy.delete(socket);
    this.#waiting.add(socket);
  }

  #forget(socket: ClientSocket): void {
    this.#waiting.delete(socket);
    this.#busy.delete(socket);
  }
}
