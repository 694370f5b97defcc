import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import type { CrashReport } from "../../src/crash_report.ts";
import { CrashSuspects } from "../../src/crash_suspects.ts";
import { promptTraits } from "../../src/crash_traits.ts";

/** What crashes endpoints: requests with one part, or one repeated request. */
export type CrashKind = "part" | "request";

/** Options of {@linkcode simulateCrashes}. */
export interface CrashSimulationOptions {
  seed: number;
  kind: CrashKind;
  nodes?: number;
  endpoints?: number;
  /** Requests in flight at each endpoint. */
  inFlight?: number;
  durationMs?: number;
  /** Fraction of the datagrams between nodes that get lost. */
  datagramLoss?: number;
  /** Fraction of the requests that the first node receives in addition to its
   * equal share. */
  firstNodeShare?: number;
  /** Interval at which one node restarts; none if undefined. */
  restartIntervalMs?: number;
  /** Interval at which a third of the endpoints lose power; none if undefined. */
  powerCutIntervalMs?: number;
}

/** Result of one simulation. */
export interface CrashSimulationResult {
  /** Endpoints that crashed. */
  crashes: number;
  /** Crashing requests that were sent more than `CONTACT_MS` after the third
   * crash. */
  lateSends: number;
  /** Other requests, and how many of them were refused. */
  sound: number;
  refused: number;
}

const SERVICE = "chat";
const TICK_MS = 10;
const BAD_INTERVAL_MS = 300;
/** Time from the start of a request to the crash of its endpoint. */
const CRASH_MS = 80;
const HEAD_MS = 40;
const REPLACEMENT_MS = 1_000;
const RETRY_DELAY_MS = 100;
const ROUND_MS = 100;
const FANOUT = 10;
const REPORTS_PER_DATAGRAM = 6;
const NODE_START_MS = 1_000;
const MIN_DURATION_MS = 300;
const DURATION_RANGE_MS = 2_700;
/** Time after the third crash by which all nodes can know of it. */
const CONTACT_MS = 3_000;
/** Number of different parts at each place of a prompt. */
const PARTS_BY_PLACE = [2, 88, 1_000, 5_000, 50_000] as const;

interface SimulatedNode {
  id: string;
  suspects: CrashSuspects;
  /** Incremented when the node restarts. */
  incarnation: number;
  readyAtMs: number;
  recentReports: (() => CrashReport[])[];
  targetOffset: number;
}

interface SimulatedRequest {
  traits: string[];
  isBad: boolean;
  isRetry: boolean;
}

interface RunningRequest extends SimulatedRequest {
  node: SimulatedNode;
  incarnation: number;
  trials: string[];
  sentMs: number;
  endMs: number;
}

interface SimulatedEndpoint {
  key: string;
  startMs: number;
  running: Set<RunningRequest>;
}

/** Plays a fleet whose full endpoints crash under some requests, with the
 * decision module of each node and the exchange of their reports. */
export async function simulateCrashes(
  options: CrashSimulationOptions,
): Promise<CrashSimulationResult> {
  return await new CrashSimulation(options).run();
}

class CrashSimulation {
  readonly #options: Required<CrashSimulationOptions>;
  readonly #clock = new ManualClock();
  readonly #rng: Rng;
  readonly #nodes: SimulatedNode[];
  readonly #endpoints: SimulatedEndpoint[];
  readonly #badRequest: string[];
  #retries: { dueMs: number; request: SimulatedRequest }[] = [];
  #requestCount = 0;
  #endpointCount = 0;
  #thirdCrashMs = Number.POSITIVE_INFINITY;
  readonly #result: CrashSimulationResult = {
    crashes: 0,
    lateSends: 0,
    sound: 0,
    refused: 0,
  };

  constructor(options: CrashSimulationOptions) {
    this.#options = {
      nodes: 4,
      endpoints: 12,
      inFlight: 128,
      durationMs: 40_000,
      datagramLoss: 0,
      firstNodeShare: 0,
      restartIntervalMs: Number.POSITIVE_INFINITY,
      powerCutIntervalMs: Number.POSITIVE_INFINITY,
      ...options,
    };
    this.#rng = new Rng(options.seed);
    const { nodes, endpoints } = this.#options;
    this.#nodes = Array.from({ length: nodes }, (_, index) => ({
      id: `n${index}`,
      suspects: this.#makeSuspects(`n${index}`),
      incarnation: 0,
      readyAtMs: 0,
      recentReports: [],
      targetOffset: this.#rng.int(nodes),
    }));
    this.#endpoints = Array.from(
      { length: endpoints },
      () => this.#makeEndpoint(0),
    );
    this.#badRequest = this.#makeTraits();
  }

  async run(): Promise<CrashSimulationResult> {
    const { durationMs, restartIntervalMs, powerCutIntervalMs } = this.#options;
    let nextRestartMs = restartIntervalMs;
    let nextPowerCutMs = powerCutIntervalMs;
    let nextBadMs = 5_000;
    for (let now = 0; now < durationMs; now += TICK_MS) {
      await this.#clock.advance(TICK_MS);
      if (now >= nextRestartMs) {
        nextRestartMs += restartIntervalMs;
        this.#restartNode(now);
      }
      if (now % ROUND_MS === 0) {
        this.#exchange();
      }
      if (now >= nextPowerCutMs) {
        nextPowerCutMs += powerCutIntervalMs;
        this.#cutPower(now);
      }
      this.#endRequests(now);
      if (now >= nextBadMs) {
        nextBadMs += BAD_INTERVAL_MS;
        this.#send(this.#makeBadRequest(), now);
      }
      this.#sendRetries(now);
      this.#fillEndpoints(now);
    }
    return this.#result;
  }

  #makeSuspects(nodeId: string): CrashSuspects {
    return new CrashSuspects({
      clock: this.#clock,
      nodeId,
      nodeIds: () => this.#nodes.map(({ id }) => id),
    });
  }

  #makeEndpoint(startMs: number): SimulatedEndpoint {
    this.#endpointCount += 1;
    return {
      key: `e${this.#endpointCount}/1`,
      startMs,
      running: new Set(),
    };
  }

  /** Traits of a new request without a bad part. */
  #makeTraits(badPart?: string): string[] {
    const parts = PARTS_BY_PLACE.map((count, place) =>
      `p${place}-${this.#rng.int(count)}`
    );
    if (badPart !== undefined) {
      parts[this.#rng.int(parts.length)] = badPart;
    }
    this.#requestCount += 1;
    return [
      ...promptTraits(SERVICE, {
        model: "m",
        promptTokens: 0,
        maxOutputTokens: 0,
        parts: [...parts, "own"].map((id) => ({ id, tokens: 1 })),
      }),
      `request-${this.#requestCount}`,
    ];
  }

  #makeBadRequest(): SimulatedRequest {
    const traits = this.#options.kind === "part"
      ? this.#makeTraits("bad")
      : this.#badRequest;
    return { traits, isBad: true, isRetry: false };
  }

  /** Sends a request through a random node to a random endpoint, unless the node
   * refuses it. */
  #send(
    request: SimulatedRequest,
    now: number,
    endpoint = this.#rng.pick(this.#liveEndpoints(now)),
  ): void {
    const readyNodes = this.#nodes.filter(({ readyAtMs }) => readyAtMs <= now);
    const node = this.#rng.fraction() < this.#options.firstNodeShare
      ? readyNodes[0]
      : this.#rng.pick(readyNodes);
    if (node === undefined || endpoint === undefined) {
      return;
    }
    const isRefused =
      node.suspects.verdict(request.traits).outcome === "refused";
    if (!request.isBad) {
      this.#result.sound += 1;
      this.#result.refused += isRefused ? 1 : 0;
    }
    if (isRefused) {
      return;
    }
    if (request.isBad && now > this.#thirdCrashMs + CONTACT_MS) {
      this.#result.lateSends += 1;
    }
    endpoint.running.add({
      ...request,
      node,
      incarnation: node.incarnation,
      trials: node.suspects.begin(request.traits),
      sentMs: this.#clock.monotonicMs(),
      endMs: now +
        (request.isBad
          ? CRASH_MS
          : MIN_DURATION_MS + this.#rng.int(DURATION_RANGE_MS)),
    });
  }

  #liveEndpoints(now: number): SimulatedEndpoint[] {
    return this.#endpoints.filter(({ startMs }) => startMs <= now);
  }

  #endRequests(now: number): void {
    for (const [index, endpoint] of this.#endpoints.entries()) {
      const due = [...endpoint.running].filter(({ endMs }) => endMs <= now);
      if (due.some(({ isBad }) => isBad)) {
        this.#result.crashes += 1;
        if (this.#result.crashes === 3) {
          this.#thirdCrashMs = now;
        }
        this.#loseEndpoint(index, now);
        continue;
      }
      for (const request of due) {
        endpoint.running.delete(request);
        const { node, traits } = request;
        if (node.incarnation === request.incarnation) {
          node.suspects.end(traits);
          node.suspects.recordCompleted(SERVICE, traits);
        }
      }
    }
  }

  /** Ends a third of the endpoints at once. */
  #cutPower(now: number): void {
    for (let index = 0; index < this.#endpoints.length; index += 3) {
      this.#loseEndpoint(index, now);
    }
  }

  /** Ends an endpoint with all its requests; another one takes its place. */
  #loseEndpoint(index: number, now: number): void {
    const { key, running } = this.#endpoints[index]!;
    this.#endpoints[index] = this.#makeEndpoint(now + REPLACEMENT_MS);
    const losing = new Set<SimulatedNode>();
    for (const request of this.#rng.shuffle([...running])) {
      const { node, traits, trials, sentMs, isBad, isRetry } = request;
      if (node.incarnation === request.incarnation) {
        losing.add(node);
        const answeringMs = this.#clock.monotonicMs() - sentMs - HEAD_MS;
        node.suspects.end(traits);
        node.suspects.recordLostResponse({
          traits,
          trials,
          endpoint: key,
          sentMs,
          answeringMs: Math.max(0, answeringMs),
        });
      }
      if (!isBad && !isRetry) {
        this.#retries.push({
          dueMs: now + RETRY_DELAY_MS,
          request: { traits, isBad, isRetry: true },
        });
      }
    }
    losing.forEach(({ suspects }) => suspects.recordEndpointDown(key));
  }

  #sendRetries(now: number): void {
    const due = this.#retries.filter(({ dueMs }) => dueMs <= now);
    this.#retries = this.#retries.filter(({ dueMs }) => dueMs > now);
    due.forEach(({ request }) => this.#send(request, now));
  }

  /** Starts requests until each endpoint is full; refused ones are not made up
   * for within the same tick. */
  #fillEndpoints(now: number): void {
    const { inFlight } = this.#options;
    for (const endpoint of this.#liveEndpoints(now)) {
      const missing = inFlight - endpoint.running.size;
      for (let index = 0; index < missing; index += 1) {
        const traits = this.#makeTraits();
        this.#send({ traits, isBad: false, isRetry: false }, now, endpoint);
      }
    }
  }

  #restartNode(now: number): void {
    const node = this.#rng.pick(this.#nodes)!;
    node.incarnation += 1;
    node.suspects = this.#makeSuspects(node.id);
    node.recentReports = [];
    node.readyAtMs = now + NODE_START_MS;
    for (const { running } of this.#endpoints) {
      for (const request of running) {
        if (request.node === node) {
          running.delete(request);
        }
      }
    }
  }

  /** One broadcast round of each node, to so many targets in turn. */
  #exchange(): void {
    for (const node of this.#nodes) {
      const peers = this.#nodes.filter((other) => other !== node);
      const rounds = Math.max(1, Math.ceil(peers.length / FANOUT));
      node.recentReports = [node.suspects.takeReports(), ...node.recentReports]
        .slice(0, rounds);
      const reports = [
        ...node.recentReports.flatMap((makeReports) => makeReports()),
        ...node.suspects.repeatedReports(),
      ];
      const start = node.targetOffset % peers.length;
      node.targetOffset += FANOUT;
      const targets = peers.length <= FANOUT
        ? peers
        : [...peers, ...peers].slice(start, start + FANOUT);
      for (const { suspects } of targets) {
        for (let index = 0; index < reports.length;) {
          const datagram = reports.slice(index, index += REPORTS_PER_DATAGRAM);
          if (this.#rng.fraction() >= this.#options.datagramLoss) {
            suspects.applyPeerReports(datagram);
          }
        }
      }
    }
  }
}
