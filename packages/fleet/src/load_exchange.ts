import { createSocket, type Socket } from "node:dgram";
import type { Buffer } from "node:buffer";
import {
  type Clock,
  errorText,
  repeat,
  type RepeatingTask,
  splitHostPort,
} from "@limpetshed/base";
import type { StorePosition } from "@limpetshed/mirror";
import type { Logger } from "@limpetshed/observe";
import {
  decodeLimitMessage,
  encodeLimitMessage,
  type LimitEntry,
  type LimitMessage,
  type LoanEntry,
  type NeedEntry,
} from "./limit_message.ts";
import {
  decodeLeavingMessage,
  encodeLeavingMessage,
} from "./leaving_message.ts";
import {
  decodeLoadMessage,
  encodeLoadMessage,
  type LoadMessage,
} from "./load_message.ts";
import type { Peer, PeerDirectory } from "./peer_directory.ts";
import {
  FANOUT,
  ROUND_INTERVAL_MS,
  roundsToReachAll,
} from "./broadcast_schedule.ts";
import type { StoreConnectivity } from "./choose_watchers.ts";

/** Changes of limits in one broadcast, including those of the rounds before that
 * are sent again: more would exceed the traffic of control by far. */
const MAX_LIMIT_ENTRIES = 32;

/** What nodes exchange about the limits of endpoints. */
export interface LimitHandlers {
  /** Takes up to `max` changes of limits. The function that it returns makes the
   * entries, with ages as of its call. */
  takeChanges: (max: number) => () => LimitEntry[];
  /** Returns limits to repeat in this round. */
  repeated: () => LimitEntry[];
  /** The endpoints of whose limits this node lacks a share. */
  needs: () => NeedEntry[];
  /** Begins and ends loans; returns them by the id of the borrower. */
  nextLoans: () => ReadonlyMap<string, LoanEntry[]>;
  onLimits: (limits: readonly LimitEntry[]) => void;
  onNeeds: (nodeId: string, needs: readonly NeedEntry[]) => void;
  /** Called with all loans that another node gives to this one. */
  onLoans: (nodeId: string, loans: readonly LoanEntry[]) => void;
}

/** Options of {@linkcode LoadExchange}. */
export interface LoadExchangeOptions {
  clock: Clock;
  logger: Logger;
  nodeId: string;
  /** Unique to each start of this node. */
  incarnation: string;
  directory: PeerDirectory;
  /** This node's in-flight requests, by endpoint key. */
  localInFlight: () => ReadonlyMap<string, number>;
  /** Position of the shared state known to this node. */
  position: () => StorePosition;
  /** This node's connectivity to the store. */
  storeConnectivity: () => StoreConnectivity;
  /** Returns the prompt parts that this node sent to endpoints since the last
   * call, as a flat list of alternating part ids and endpoint keys. */
  takePlacements: () => string[];
  /** Takes the crash reports of this node since the last call. The function that
   * it returns encodes them as of its call, as a flat list of pairs. */
  takeCrashReports: () => () => string[];
  /** Returns crash reports to repeat in this round, encoded alike. */
  repeatedCrashReports: () => string[];
  /** Called with another node's in-flight requests, by endpoint key. */
  onPeerInFlight: (
    nodeId: string,
    inFlightByEndpoint: Map<string, number>,
  ) => void;
  /** Called with another node's placements, encoded as in `takePlacements`. */
  onPlacements: (placements: readonly string[]) => void;
  /** Called with another node's crash reports, encoded as in
   * `takeCrashReports`. */
  onCrashReports: (crashReports: readonly string[]) => void;
  /** Returns the keys of the endpoints that told this node since the last call that
   * they leave. */
  takeLeavings: () => string[];
  /** Called with those that told another node so. */
  onLeavings: (endpoints: readonly string[]) => void;
  limits: LimitHandlers;
  /** Called with datagrams of other kinds. */
  onOtherDatagram: (data: Buffer) => void;
}

/** Placements, leavings, crash reports and changes of limits collected for one
 * broadcast round. */
interface RoundEvents {
  placements: string[];
  leavings: string[];
  encodeCrashReports: () => string[];
  makeLimits: () => LimitEntry[];
}

/** The latest broadcast round received from one node, which may have arrived in
 * several datagrams. */
interface ReceivedRound {
  incarnation: string;
  round: number;
  inFlightByEndpoint: Map<string, number>;
}

/** Takes the host of a datagram as an IP address, which all are here: the default
 * asks the resolver for each datagram. */
function takeAsAddress(
  host: string,
  _options: unknown,
  done: (err: null, address: string, family: number) => void,
): void {
  done(null, host, 4);
}

/** Broadcasts this node's load, placements and crash reports to its peers over
 * UDP and receives theirs. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #socket: Socket;
  readonly #lastRoundByNode = new Map<string, ReceivedRound>();
  /** The latest round in which each node has sent loans. */
  readonly #lastLoanRoundByNode = new Map<
    string,
    { incarnation: string; round: number }
  >();
  #broadcastLoop: RepeatingTask | undefined;
  /** Events of the most recent rounds, sent again in each round. Covers as many
   * rounds as it takes to send to every peer once. */
  #recentEvents: RoundEvents[] = [];
  #round = 0;
  #targetOffset = 0;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", lookup: takeAsAddress });
    this.#socket.on("message", (data) => {
      try {
        this.#receive(data);
      } catch (err) {
        // Any host can send datagrams; none may end the process.
        options.logger.warn({ event: "datagram_error", err: errorText(err) });
      }
    });
    this.#socket.on(
      "error",
      (err) =>
        options.logger.warn({ event: "datagram_error", err: err.message }),
    );
  }

  /** Binds to `ip:port` and starts broadcasting. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitHostPort(address);
    await new Promise<void>((resolve) =>
      this.#socket.bind(port, host, resolve)
    );
    this.#broadcastLoop = repeat(this.#options.clock, () => this.#broadcast(), {
      intervalMs: ROUND_INTERVAL_MS,
      onError: (err) =>
        this.#options.logger.error({ event: "datagram_error", err }),
    });
  }

  /** Stops broadcasting and closes the socket. */
  async close(): Promise<void> {
    await this.#broadcastLoop?.close();
    this.#socket.close();
  }

  #broadcast(): void {
    const { nodeId, incarnation, localInFlight, position, directory } =
      this.#options;
    const { takePlacements, takeCrashReports, repeatedCrashReports } =
      this.#options;
    this.#round += 1;
    const rounds = roundsToReachAll(directory.peers().length);
    const events = {
      placements: takePlacements(),
      leavings: this.#options.takeLeavings(),
      encodeCrashReports: takeCrashReports(),
      makeLimits: this.#options.limits.takeChanges(
        Math.max(1, Math.floor(MAX_LIMIT_ENTRIES / rounds)),
      ),
    };
    this.#recentEvents = [events, ...this.#recentEvents].slice(0, rounds);
    const datagrams = encodeLoadMessage({
      nodeId,
      incarnation,
      round: this.#round,
      position: position(),
      storeConnectivity: this.#options.storeConnectivity(),
      inFlightByEndpoint: localInFlight(),
      placements: this.#recentEvents.flatMap(({ placements }) => placements),
      crashReports: [
        ...this.#recentEvents.flatMap(({ encodeCrashReports }) =>
          encodeCrashReports()
        ),
        ...repeatedCrashReports(),
      ],
    });
    datagrams.push(
      ...this.#encodeLimits(),
      ...encodeLeavingMessage(
        this.#recentEvents.flatMap(({ leavings }) => leavings),
      ),
    );
    for (const { datagramAddress } of this.#nextTargets()) {
      this.send(datagramAddress, datagrams);
    }
    this.#sendLoans();
  }

  #encodeLimits(): Buffer[] {
    const { nodeId, incarnation, limits } = this.#options;
    return encodeLimitMessage({
      nodeId,
      incarnation,
      round: this.#round,
      limits: [
        ...this.#recentEvents.flatMap(({ makeLimits }) => makeLimits()),
        ...limits.repeated(),
      ],
      needs: limits.needs(),
      loans: undefined,
    });
  }

  /** Sends loans to their borrowers only, in each round. */
  #sendLoans(): void {
    const { nodeId, incarnation, directory, limits } = this.#options;
    const loansByBorrower = limits.nextLoans();
    if (loansByBorrower.size === 0) {
      return;
    }
    for (const { id, datagramAddress } of directory.peers()) {
      const loans = loansByBorrower.get(id);
      if (loans !== undefined) {
        const datagrams = encodeLimitMessage({
          nodeId,
          incarnation,
          round: this.#round,
          limits: [],
          needs: [],
          loans,
        });
        this.send(datagramAddress, datagrams);
      }
    }
  }

  /** Sends datagrams to `ip:port`. */
  send(address: string, datagrams: readonly Buffer[]): void {
    const { host, port } = splitHostPort(address);
    datagrams.forEach((data) => this.#socket.send(data, port, host));
  }

  #nextTargets(): readonly Peer[] {
    const peers = this.#options.directory.peers();
    if (peers.length <= FANOUT) {
      return peers;
    }
    const start = this.#targetOffset % peers.length;
    this.#targetOffset += FANOUT;
    return [...peers, ...peers].slice(start, start + FANOUT);
  }

  #receive(data: Buffer): void {
    // By far the most datagrams are of loads.
    const message = decodeLoadMessage(data);
    if (message !== undefined) {
      this.#receiveLoad(message);
      return;
    }
    const limitMessage = decodeLimitMessage(data);
    if (limitMessage !== undefined) {
      this.#receiveLimits(limitMessage);
      return;
    }
    const leavings = decodeLeavingMessage(data);
    if (leavings !== undefined) {
      this.#options.onLeavings(leavings);
      return;
    }
    this.#options.onOtherDatagram(data);
  }

  #receiveLoad(message: LoadMessage): void {
    const { nodeId, incarnation, round, inFlightByEndpoint } = message;
    const { directory, onPeerInFlight, onPlacements, onCrashReports } =
      this.#options;
    if (directory.isSelf(nodeId)) {
      return;
    }
    const previous = this.#lastRoundByNode.get(nodeId);
    const isSameIncarnation = previous?.incarnation === incarnation;
    // A datagram of an earlier round, delayed on the network, is out of date.
    if (isSameIncarnation && round < previous.round) {
      return;
    }
    const isSameRound = isSameIncarnation && round === previous.round;
    const mergedInFlight = new Map(
      isSameRound
        ? [...previous.inFlightByEndpoint, ...inFlightByEndpoint]
        : inFlightByEndpoint,
    );
    this.#lastRoundByNode.set(nodeId, {
      incarnation,
      round,
      inFlightByEndpoint: mergedInFlight,
    });
    directory.recordDatagram(nodeId, message);
    onPeerInFlight(nodeId, mergedInFlight);
    onPlacements(message.placements);
    onCrashReports(message.crashReports);
  }

  #receiveLimits(
    { nodeId, incarnation, round, limits, needs, loans }: LimitMessage,
  ): void {
    const { limits: handlers } = this.#options;
    handlers.onLimits(limits);
    handlers.onNeeds(nodeId, needs);
    const previous = this.#lastLoanRoundByNode.get(nodeId);
    const isDelayed = previous?.incarnation === incarnation &&
      round < previous.round;
    if (loans !== undefined && !isDelayed) {
      this.#lastLoanRoundByNode.set(nodeId, { incarnation, round });
      handlers.onLoans(nodeId, loans);
    }
  }
}
