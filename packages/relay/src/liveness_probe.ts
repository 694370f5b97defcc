import * as net from "node:net";
import { type Clock, splitHostPort } from "@limpetshed/base";
import { REFUSED_CODE } from "./endpoint_connector.ts";

/** Options of {@linkcode LivenessProbe}. */
export interface LivenessProbeOptions {
  clock: Clock;
  /** Connect timeout, milliseconds. */
  connectTimeoutMs?: number;
  /** Resolves to whether an address that refuses connections of this node refuses
   * those of other nodes as well. */
  isRefusedElsewhere?: (address: string) => Promise<boolean>;
}

/** Allows several round trips between availability zones. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Finds out whether the process behind an address is gone. The system closes the
 * connections of a process that crashed as it does those of one that ended its
 * responses; only a new connection tells them apart, since nothing listens any
 * more.
 */
export class LivenessProbe {
  readonly #clock: Clock;
  readonly #connectTimeoutMs: number;
  readonly #isRefusedElsewhere: (address: string) => Promise<boolean>;
  readonly #running = new Map<string, Promise<boolean>>();
  readonly #sockets = new Set<net.Socket>();

  constructor(
    {
      clock,
      connectTimeoutMs = CONNECT_TIMEOUT_MS,
      isRefusedElsewhere = () => Promise.resolve(true),
    }: LivenessProbeOptions,
  ) {
    this.#clock = clock;
    this.#isRefusedElsewhere = isRefusedElsewhere;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Resolves to whether `ip:port` refuses connections of all nodes; false also if
   * that stays unknown, as behind a partition. Concurrent calls share one
   * connection. */
  isRefused(address: string): Promise<boolean> {
    let running = this.#running.get(address);
    if (running === undefined) {
      running = this.#probe(address).finally(() =>
        this.#running.delete(address)
      );
      this.#running.set(address, running);
    }
    return running;
  }

  /** Ends the probes in progress. */
  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async #probe(address: string): Promise<boolean> {
    return await this.#connect(address) &&
      await this.#isRefusedElsewhere(address);
  }

  #connect(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = net.connect(splitHostPort(address));
      this.#sockets.add(socket);
      let isRefused = false;
      const timer = this.#clock.setTimer(
        this.#connectTimeoutMs,
        () => socket.destroy(),
      );
      socket.once("connect", () => socket.destroy());
      socket.once("error", (err: NodeJS.ErrnoException) => {
        isRefused = err.code === REFUSED_CODE;
      });
      socket.once("close", () => {
        timer.cancel();
        this.#sockets.delete(socket);
        resolve(isRefused);
      });
    });
  }
}
