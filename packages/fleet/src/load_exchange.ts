import { createSocket, type Socket } from "node:dgram";
import type { Buffer } from "node:buffer";
import {
  type Clock,
  repeat,
  type RepeatingTask,
  splitHostPort,
} from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import { decodeLoadMessage, encodeLoadMessage } from "./load_message.ts";
import type { Peer, PeerDirectory } from "./peer_directory.ts";
import { FANOUT, ROUND_MS, roundsToTell } from "./telling.ts";
import type { StorePath } from "./watch_duty.ts";

/** Options of {@linkcode LoadExchange}. */
export interface LoadExchangeOptions {
  clock: Clock;
  logger: Logger;
  nodeId: string;
  /** Differs between starts of this node. */
  incarnation: string;
  directory: PeerDirectory;
  /** Requests of this node in flight, by endpoint key. */
  ownCounts: () => ReadonlyMap<string, number>;
  /** Revision of the shared state known here. */
  asOf: () => number;
  /** This node's path to the store. */
  storePath: () => StorePath;
  /** Parts of prompts that this node sent since the last call, and endpoint
   * keys in turn. */
  takePlaced: () => string[];
  /** Requests with which endpoints went down since the last call, and endpoint
   * keys in turn. */
  takeCrashed: () => string[];
  /** Told the requests in flight of another node. */
  onCounts: (nodeId: string, counts: Map<string, number>) => void;
  /** Told the parts of prompts that another node sent, as `takePlaced`. */
  onPlaced: (placed: readonly string[]) => void;
  /** Told what another node saw, as `takeCrashed`. */
  onCrashed: (crashed: readonly string[]) => void;
}

/** What happened in one round, as pairs. */
interface News {
  placed: string[];
  crashed: string[];
}

interface Seen {
  incarnation: string;
  round: number;
  counts: Map<string, number>;
}

/** Tells other nodes this node's requests in flight, and hears theirs. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #socket: Socket;
  readonly #seen = new Map<string, Seen>();
  #rounds: RepeatingTask | undefined;
  /** What happened in as many rounds as it takes to tell every node. */
  #news: News[] = [];
  #round = 0;
  #turn = 0;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (data) => this.#receive(data));
    this.#socket.on(
      "error",
      (err) =>
        options.logger.warn({ event: "datagram_error", err: err.message }),
    );
  }

  /** Starts telling and hearing at `ip:port`. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitHostPort(address);
    await new Promise<void>((resolve) =>
      this.#socket.bind(port, host, resolve)
    );
    this.#rounds = repeat(this.#options.clock, () => this.#tell(), {
      intervalMs: ROUND_MS,
      onError: (err) =>
        this.#options.logger.error({ event: "datagram_error", err }),
    });
  }

  /** Stops. */
  async close(): Promise<void> {
    await this.#rounds?.close();
    this.#socket.close();
  }

  #tell(): void {
    const { nodeId, incarnation, ownCounts, asOf, directory } = this.#options;
    const { takePlaced, takeCrashed } = this.#options;
    this.#round += 1;
    const rounds = roundsToTell(directory.all().length);
    const news = { placed: takePlaced(), crashed: takeCrashed() };
    this.#news = [news, ...this.#news].slice(0, rounds);
    const datagrams = encodeLoadMessage({
      nodeId,
      incarnation,
      round: this.#round,
      asOf: asOf(),
      storePath: this.#options.storePath(),
      counts: ownCounts(),
      placed: this.#news.flatMap(({ placed }) => placed),
      crashed: this.#news.flatMap(({ crashed }) => crashed),
    });
    for (const { datagrams: address } of this.#targets()) {
      const { host, port } = splitHostPort(address);
      datagrams.forEach((data) => this.#socket.send(data, port, host));
    }
  }

  #targets(): readonly Peer[] {
    const peers = this.#options.directory.all();
    if (peers.length <= FANOUT) {
      return peers;
    }
    const start = this.#turn % peers.length;
    this.#turn += FANOUT;
    return [...peers, ...peers].slice(start, start + FANOUT);
  }

  #receive(data: Buffer): void {
    const message = decodeLoadMessage(data);
    if (message === undefined) {
      return;
    }
    const { nodeId, incarnation, round, counts } = message;
    const { directory, onCounts, onPlaced, onCrashed } = this.#options;
    const known = this.#seen.get(nodeId);
    const isSameStart = known?.incarnation === incarnation;
    if (isSameStart && round < known.round) {
      return;
    }
    const isSameRound = isSameStart && round === known.round;
    const all = new Map(isSameRound ? [...known.counts, ...counts] : counts);
    this.#seen.set(nodeId, { incarnation, round, counts: all });
    directory.heard(nodeId, message);
    onCounts(nodeId, all);
    onPlaced(message.placed);
    onCrashed(message.crashed);
  }
}
