import type { Socket } from "node:net";

/** Counts bytes sent and received on a set of sockets, including framing. */
export class SocketByteCounter {
  readonly #open = new Set<Socket>();
  #closedSent = 0;
  #closedReceived = 0;

  /** Starts counting the bytes of a socket; it stays counted once closed. */
  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedSent += socket.bytesWritten;
      this.#closedReceived += socket.bytesRead;
    });
  }

  /** Returns total bytes sent and received, and the number of open sockets. */
  totals(): { sent: number; received: number; open: number } {
    let sent = this.#closedSent;
    let received = this.#closedReceived;
    for (const socket of this.#open) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sent, received, open: this.#open.size };
  }
}
