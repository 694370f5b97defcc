import type * as net from "node:net";

/**
 * Resets a connection. Node.js cannot reset one whose shutdown is in progress:
 * the handle then stays open for good and the process spins when it exits. Such a
 * connection is destroyed instead.
 */
export function resetConnection(socket: net.Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
