import * as net from "node:net";
import { type Clock, splitHostPort } from "@limpetshed/base";
import {
  type ConnectRequest,
  EndpointConnector,
  type OpenedConnection,
} from "./endpoint_connector.ts";

/** Idle time before the first TCP keep-alive probe. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** Opens connections over this node's own links. */
export class DirectConnector extends EndpointConnector {
  readonly #clock: Clock;

  constructor({ clock }: { clock: Clock }) {
    super();
    this.#clock = clock;
  }

  connect(
    { address, timeoutMs, signal }: ConnectRequest,
  ): Promise<OpenedConnection> {
    return new Promise((resolve, reject) => {
      // Throws, and so rejects, for a port that is none.
      const socket = net.connect({
        ...splitHostPort(address),
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
      });
      const timer = this.#clock.setTimer(
        timeoutMs,
        () => socket.destroy(new Error("connect timeout")),
      );
      const abort = () => socket.destroy(new Error("connect aborted"));
      const settle = () => {
        timer.cancel();
        signal.removeEventListener("abort", abort);
        socket.removeAllListeners();
      };
      signal.addEventListener("abort", abort, { once: true });
      socket.once("error", (err) => {
        settle();
        // A socket may fail again while it closes.
        socket.on("error", () => undefined);
        reject(err);
      });
      socket.once("connect", () => {
        settle();
        resolve({ socket, isDetour: false });
      });
      if (signal.aborted) {
        abort();
      }
    });
  }
}
