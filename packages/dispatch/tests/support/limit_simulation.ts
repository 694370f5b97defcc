import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { EndpointLimiter } from "../../src/endpoint_limiter.ts";
import type { LimitReport } from "../../src/endpoint_limits.ts";

/** Options of {@linkcode LimitSimulation}. */
export interface LimitSimulationOptions {
  seed?: number;
  nodes: number;
  /** Limit that the endpoint names at a time; undefined if it names none. */
  limitPerS: (nowMs: number) => number | undefined;
  /** Requests per second that a node would send to the endpoint. */
  demandPerS: (nodeIndex: number, nowMs: number) => number;
  /** Fraction of the datagrams between nodes that get lost. */
  datagramLoss?: number;
  /** Longest delay of a datagram, milliseconds. */
  datagramDelayMs?: number;
}

interface SimulatedNode {
  id: string;
  limiter: EndpointLimiter;
  nodeIds: readonly string[];
  /** Whether it is cut off from the other nodes. */
  isCut: boolean;
  isStopped: boolean;
  recentReports: (() => LimitReport[])[];
  targetOffset: number;
}

export const ENDPOINT = "e1/1";
/** Length of the window in which the limit is checked. */
const WINDOW_MS = 4_000;
const WINDOW_MULTIPLE = 1.5;
const WINDOW_SLACK = 5;
/** Time after a response within which a node may not keep to its limit. */
const NOTICE_MS = 500;
const TICK_MS = 50;
const ROUND_MS = 200;
const FANOUT = 10;
const RESPONSE_MS = 30;
const MAX_REPORTS = 3;
const MIN_PEER_TIMEOUT_MS = 1_500;
const PEER_TIMEOUT_ROUNDS = 3;

/** Plays the limiters of a fleet before one endpoint that names a limit. */
export class LimitSimulation {
  readonly clock = new ManualClock();
  readonly nodes: SimulatedNode[] = [];
  /** Arrivals at the endpoint: time and index of the node. */
  readonly arrivals: { atMs: number; node: number }[] = [];
  readonly #options: Required<LimitSimulationOptions>;
  readonly #rng: Rng;

  constructor(options: LimitSimulationOptions) {
    this.#options = {
      seed: 1,
      datagramLoss: 0,
      datagramDelayMs: 0,
      ...options,
    };
    this.#rng = new Rng(this.#options.seed);
    const ids = Array.from({ length: options.nodes }, (_, i) => `n${i}`);
    ids.forEach((id) => this.nodes.push(this.#makeNode(id, ids)));
  }

  /** Runs for `ms`. */
  async run(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs) {
      await this.clock.advance(TICK_MS);
      if (this.clock.monotonicMs() % ROUND_MS === 0) {
        this.nodes.forEach((node) => this.#broadcast(node));
      }
      this.#rng.shuffle([...this.nodes.keys()]).forEach((index) =>
        this.#send(index)
      );
    }
  }

  /** Restarts a node: it knows nothing of the limit. */
  restart(index: number): void {
    const { id, nodeIds } = this.nodes[index]!;
    this.nodes[index] = this.#makeNode(id, nodeIds);
  }

  /** Adds a node; the others learn of it after `noticeMs`. */
  join({ noticeMs }: { noticeMs: number }): void {
    const id = `n${this.nodes.length}`;
    const ids = [...this.nodes.map((node) => node.id), id];
    this.nodes.push(this.#makeNode(id, ids));
    this.clock.setTimer(
      noticeMs,
      () => this.nodes.forEach((node) => node.nodeIds = ids),
    );
  }

  /** Sets what all nodes but those cut off take for the ids of nodes. */
  setNodeIds(ids: readonly string[]): void {
    this.nodes.filter(({ isCut }) => !isCut)
      .forEach((node) => node.nodeIds = ids);
  }

  /** Arrivals per second from `fromMs` on. */
  ratePerS(fromMs: number): number {
    const count = this.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    return count / (this.clock.monotonicMs() - fromMs) * 1_000;
  }

  /**
   * The largest excess over what the limit allows in a window of 4 s that begins
   * after `fromMs`; 0 or less if it is kept. The limit of a window is the largest
   * in force within it.
   */
  excess(fromMs: number): number {
    const times = this.arrivals.map(({ atMs }) => atMs)
      .filter((atMs) => atMs >= fromMs + NOTICE_MS);
    return Math.max(
      -Infinity,
      ...times.map((startMs) => {
        const inWindow = times.filter((atMs) =>
          atMs >= startMs && atMs < startMs + WINDOW_MS
        );
        const limit = Math.max(
          ...inWindow.map((atMs) =>
            this.#options.limitPerS(atMs) ?? Number.POSITIVE_INFINITY
          ),
        );
        const allowed = WINDOW_MULTIPLE * limit * WINDOW_MS / 1_000 +
          WINDOW_SLACK;
        return inWindow.length - allowed;
      }),
    );
  }

  #makeNode(id: string, nodeIds: readonly string[]): SimulatedNode {
    const node: SimulatedNode = {
      id,
      nodeIds,
      isCut: false,
      isStopped: false,
      recentReports: [],
      targetOffset: this.#rng.int(Math.max(1, this.#options.nodes)),
      limiter: new EndpointLimiter({
        clock: this.clock,
        nodeId: id,
        nodeIds: () => node.nodeIds,
        peerTimeoutMs: () =>
          Math.max(
            MIN_PEER_TIMEOUT_MS,
            PEER_TIMEOUT_ROUNDS * Math.ceil(node.nodeIds.length / FANOUT) *
              ROUND_MS,
          ),
      }),
    };
    return node;
  }

  #send(index: number): void {
    const { limiter, isStopped } = this.nodes[index]!;
    const now = this.clock.monotonicMs();
    const demand = this.#options.demandPerS(index, now) * TICK_MS / 1_000;
    let count = Math.floor(demand + this.#rng.fraction());
    while (!isStopped && count > 0) {
      count -= 1;
      if (!limiter.allows(ENDPOINT)) {
        limiter.recordDenied(ENDPOINT);
        return;
      }
      limiter.recordRequest(ENDPOINT);
      this.arrivals.push({ atMs: now, node: index });
      const requestsPerS = this.#options.limitPerS(now);
      this.clock.setTimer(
        RESPONSE_MS,
        () =>
          limiter.limits.recordResponse(ENDPOINT, {
            requestsPerS,
            sentMs: now,
          }),
      );
    }
  }

  #broadcast(node: SimulatedNode): void {
    const { limiter, isStopped, isCut } = node;
    if (isStopped) {
      return;
    }
    const peers = this.nodes.filter((other) => other !== node);
    const rounds = Math.max(1, Math.ceil(peers.length / FANOUT));
    node.recentReports = [
      limiter.limits.takeReports(MAX_REPORTS),
      ...node.recentReports,
    ].slice(0, rounds);
    const reports = [
      ...node.recentReports.flatMap((makeReports) => makeReports()),
      ...limiter.limits.repeatedReports(),
    ];
    const needs = limiter.needs();
    const loans = limiter.nextLoans();
    if (isCut) {
      return;
    }
    const start = peers.length === 0 ? 0 : node.targetOffset % peers.length;
    node.targetOffset += FANOUT;
    const targets = peers.length <= FANOUT
      ? peers
      : [...peers, ...peers].slice(start, start + FANOUT);
    for (const target of targets) {
      this.#deliver(target, () => {
        target.limiter.limits.applyPeerReports(reports);
        target.limiter.loans.applyPeerNeeds(node.id, needs);
      });
    }
    for (const target of peers) {
      const given = loans.get(target.id);
      if (given !== undefined) {
        this.#deliver(
          target,
          () => target.limiter.loans.applyLoans(node.id, given),
        );
      }
    }
  }

  #deliver(target: SimulatedNode, receive: () => void): void {
    if (target.isCut || this.#rng.fraction() < this.#options.datagramLoss) {
      return;
    }
    const delayMs = this.#rng.fraction() * this.#options.datagramDelayMs;
    this.clock.setTimer(delayMs, receive);
  }
}
