import type { Socket } from "node:net";

/**
 * Calls back when clients' connections close. The response to a request that was
 * sent behind another one, before its response, is not told of that: it has no
 * connection until its turn.
 */
export class ConnectionClosures {
  readonly #callbacks = new WeakMap<Socket, Set<() => void>>();

  /** Calls `fn` when the connection closes, or at once if it has; the function that
   * it returns cancels that. */
  add(socket: Socket, fn: () => void): () => void {
    if (socket.destroyed) {
      fn();
      return () => undefined;
    }
    let callbacks = this.#callbacks.get(socket);
    if (callbacks === undefined) {
      const added = new Set<() => void>();
      socket.once("close", () => [...added].forEach((callback) => callback()));
      this.#callbacks.set(socket, added);
      callbacks = added;
    }
    callbacks.add(fn);
    return () => callbacks.delete(fn);
  }
}
