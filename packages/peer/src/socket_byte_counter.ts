import type { Socket } from "node:net";

/** Sums the bytes that went over a set of sockets, framing included. */
export class SocketByteCounter {
  readonly #open = new Set<Socket>();
  #closedSent = 0;
  #closedReceived = 0;

  /** Adds a socket to the sum. */
  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedSent += socket.bytesWritten;
      this.#closedReceived += socket.bytesRead;
    });
  }

  /** Bytes sent and received so far, and sockets open now. */
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
