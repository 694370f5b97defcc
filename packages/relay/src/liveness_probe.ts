import * as net from "node:net";
import { type Clock, splitHostPort } from "@limpetshed/base";
import { REFUSED_CODE } from "./endpoint_connector.ts";

/** What is known of the process behind an address. */
export type Liveness =
  /** It takes connections. */
  | "alive"
  /** Its system refuses connections of all nodes: nothing listens any more. */
  | "refused"
  /** It cannot be reached, as behind a partition. */
  | "unknown";

/** As found out by other nodes. */
export type ElsewhereLiveness = Liveness | "no_helper";

/** Options of {@linkcode LivenessProbe}. */
export interface LivenessProbeOptions {
  clock: Clock;
  /** Connect timeout, milliseconds. */
  connectTimeoutMs?: number;
  /** Finds out what other nodes know of an address to which this node cannot
   * connect; by default there is none. */
  askElsewhere?: (address: string) => Promise<ElsewhereLiveness>;
}

/** Allows several round trips between availability zones. */
const CONNECT_TIMEOUT_MS = 400;
/** Time in which the system closes what a process that ended had open, also the
 * socket that takes connections, milliseconds. */
const CLOSING_MS = 50;

/**
 * Finds out whether the process behind an address is gone. The system closes the
 * connections of a process that crashed as it does those of one that ended its
 * responses; only a new connection tells them apart, since nothing listens any
 * more.
 */
export class LivenessProbe {
  readonly #clock: Clock;
  readonly #connectTimeoutMs: number;
  readonly #askElsewhere: (address: string) => Promise<ElsewhereLiveness>;
  readonly #running = new Map<string, Promise<Liveness>>();
  readonly #sockets = new Set<net.Socket>();

  constructor(
    {
      clock,
      connectTimeoutMs = CONNECT_TIMEOUT_MS,
      askElsewhere = () => Promise.resolve("no_helper"),
    }: LivenessProbeOptions,
  ) {
    this.#clock = clock;
    this.#askElsewhere = askElsewhere;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** Resolves to whether `ip:port` refuses connections of all nodes; false also if
   * that stays unknown. Concurrent calls share one connection. */
  async isRefused(address: string): Promise<boolean> {
    const liveness = await this.#share(
      `refused ${address}`,
      () => this.#check(address, { stayMs: 0 }),
    );
    return liveness === "refused";
  }

  /** Resolves to whether `ip:port` is known to take connections, and goes on to for
   * the time in which the system would close them if the process had ended.
   * Concurrent calls share one connection. */
  async isAlive(address: string): Promise<boolean> {
    const liveness = await this.#share(
      `alive ${address}`,
      () => this.#check(address, { stayMs: CLOSING_MS }),
    );
    return liveness === "alive";
  }

  /** Ends the probes in progress. */
  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #share(key: string, check: () => Promise<Liveness>): Promise<Liveness> {
    let running = this.#running.get(key);
    if (running === undefined) {
      running = check().finally(() => this.#running.delete(key));
      this.#running.set(key, running);
    }
    return running;
  }

  async #check(
    address: string,
    { stayMs }: { stayMs: number },
  ): Promise<Liveness> {
    let own = await this.#connect(address, { stayMs });
    if (own === "closed") {
      // By a process that ends, or by one that has too many connections.
      const again = await this.#connect(address, { stayMs });
      own = again === "closed" ? "alive" : again;
    }
    if (own === "alive") {
      return own;
    }
    const elsewhere = await this.#askElsewhere(address);
    const isNews = elsewhere === "alive" || elsewhere === "unknown";
    return isNews ? elsewhere : own;
  }

  /** Connects and stays connected for a time. */
  #connect(
    address: string,
    { stayMs }: { stayMs: number },
  ): Promise<Liveness | "closed"> {
    return new Promise((resolve) => {
      const socket = net.connect(splitHostPort(address));
      this.#sockets.add(socket);
      let result: Liveness | "closed" = "unknown";
      let timer = this.#clock.setTimer(
        this.#connectTimeoutMs,
        () => socket.destroy(),
      );
      socket.once("connect", () => {
        result = "closed";
        timer.cancel();
        timer = this.#clock.setTimer(stayMs, () => {
          result = "alive";
          socket.destroy();
        });
        socket.resume();
      });
      socket.once("error", (err: NodeJS.ErrnoException) => {
        if (err.code === REFUSED_CODE) {
          result = "refused";
        }
      });
      socket.once("close", () => {
        timer.cancel();
        this.#sockets.delete(socket);
        resolve(result);
      });
    });
  }
}
