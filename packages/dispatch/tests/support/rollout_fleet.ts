import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import type { Endpoint } from "../../src/endpoint_registry.ts";
import type {
  RolloutOrder,
  RolloutState,
  RolloutStatus,
} from "../../src/rollout_report.ts";
import { VersionRollouts } from "../../src/version_rollouts.ts";
import { entry } from "../fixtures.ts";

/** An answer that an endpoint gives. */
export interface ModelAnswer {
  isFailed: boolean;
  durationMs: number;
}

/** Options of {@linkcode RolloutFleet}. */
export interface RolloutFleetOptions {
  nodes: number;
  requestsPerS?: number;
  durationS?: number;
  endpoints?: number;
  /** What an endpoint answers; `normal` draws what a sound one would. */
  answer: (
    query: {
      isTarget: boolean;
      index: number;
      route: string;
      sinceS: number;
      normal: ModelAnswer;
      random: () => number;
    },
  ) => ModelAnswer;
}

interface ModelNode {
  id: string;
  rollouts: VersionRollouts;
  isDown: boolean;
  inFlight: Map<string, number>;
}

const ROUTES = ["chat", "label", "order"];
const STEP_MS = 20;
const ROUND_MS = 200;
const FANOUT = 10;
const ROUNDS_PER_REPORT = 2;
const PASSING_FANOUT = 2;
const NEWS_DELAY_MS = 300;
export const LIMITS = { share: 0.1, slack: 50 };

/** Nodes in a rollout that exchange reports with delay and loss, and a store that
 * writes under a condition. */
export class RolloutFleet {
  readonly clock = new ManualClock();
  readonly nodes: ModelNode[] = [];
  requests = 0;
  exposed = 0;
  badAnswers = 0;
  /** When the target had given its 50th bad answer and was last sent a request, ms
   * since the order. */
  fiftiethBadMs = Number.POSITIVE_INFINITY;
  lastExposedMs = 0;
  /** Requests lost because their endpoint ended with the rollout. */
  cut = 0;
  readonly writes: RolloutState[] = [];
  readonly sentByVersion = new Map<string, number>();
  isStoreAway = false;
  /** Part of the writes whose answers are lost. */
  lostAnswers = 0;
  /** Part of the reports that are lost. */
  lostReports = 0.03;
  status: RolloutStatus | undefined;
  readonly #options: Required<RolloutFleetOptions>;
  readonly #rng = new Rng(7);
  readonly #endpoints: Endpoint[] = [];
  readonly #events: { atMs: number; run: () => void }[] = [];
  #order: RolloutOrder | undefined;
  #orderedMs = 0;
  #revision = 10;
  #round = 0;

  constructor(options: RolloutFleetOptions) {
    this.#options = {
      requestsPerS: 400,
      durationS: 20,
      endpoints: 12,
      ...options,
    };
    for (let index = 0; index < this.#options.endpoints; index += 1) {
      this.#addEndpoint(`old${index}`, "v1");
    }
    for (let index = 0; index < options.nodes; index += 1) {
      this.nodes.push(this.#makeNode(`n${String(index).padStart(3, "0")}`));
    }
  }

  /** Starts the endpoints of a version and gives the order for it. */
  orderVersion(target = "v2"): void {
    for (let index = 0; index < this.#options.endpoints; index += 1) {
      this.#addEndpoint(`${target}-${index}`, target);
    }
    this.#revision += 1;
    this.#order = {
      service: "model",
      target,
      durationMs: this.#options.durationS * 1_000,
      revision: this.#revision,
    };
    this.#orderedMs = this.clock.monotonicMs();
    for (const { rollouts } of this.nodes) {
      rollouts.setOrder(this.#order, { ageMs: 100 });
    }
  }

  /** A node's successor, which knows only what the store says. */
  restart(place: number): void {
    const node = this.#makeNode(this.nodes[place]!.id);
    node.rollouts.setOrder(this.#order!, { ageMs: undefined });
    node.rollouts.setStatus("model", this.status);
    this.nodes[place]!.isDown = true;
    this.nodes[place] = node;
  }

  /** An endpoint of a version. */
  endpointOf(version: string): Endpoint {
    return this.#endpoints.find(({ entry: { softwareVersion } }) =>
      softwareVersion === version
    )!;
  }

  /** Plays for some seconds. */
  async run(seconds: number): Promise<void> {
    const { requestsPerS } = this.#options;
    let due = 0;
    for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
      await this.clock.advance(STEP_MS);
      const now = this.clock.monotonicMs();
      const ready = this.#events.filter(({ atMs }) => atMs <= now);
      for (const event of ready) {
        this.#events.splice(this.#events.indexOf(event), 1);
        event.run();
      }
      for (due += requestsPerS * STEP_MS / 1_000; due >= 1; due -= 1) {
        this.#send();
      }
      if (now % ROUND_MS === 0) {
        this.#exchange();
      }
    }
  }

  #makeNode(id: string): ModelNode {
    const inFlight = new Map<string, number>();
    const rollouts = new VersionRollouts({
      clock: this.clock,
      registry: {
        usable: () => this.#endpoints,
        serviceEndpoints: () => this.#endpoints,
      },
      loads: { localInFlight: (key) => inFlight.get(key) ?? 0 },
      limits: LIMITS,
      nodeId: id,
      nodeIds: () => this.nodes.map((node) => node.id),
      random: () => this.#rng.fraction(),
    });
    return { id, rollouts, isDown: false, inFlight };
  }

  #addEndpoint(id: string, softwareVersion: string): void {
    const fields = entry(id, { softwareVersion });
    this.#endpoints.push({
      key: `${id}/1`,
      entry: fields,
      coldUntilMs: 0,
      knownSinceMs: 0,
      isLastResort: false,
    });
  }

  #send(): void {
    const up = this.nodes.filter(({ isDown }) => !isDown);
    const node = up[Math.floor(this.#rng.fraction() * up.length)]!;
    const filters = node.rollouts.filters({
      service: "model",
      version: undefined,
      isRetry: false,
    });
    const found = filters
      .map((filter) => this.#endpoints.filter(filter ?? (() => true)))
      .find((endpoints) => endpoints.length > 0);
    if (found === undefined) {
      return;
    }
    const endpoint = found[Math.floor(this.#rng.fraction() * found.length)]!;
    node.rollouts.recordSent(endpoint);
    const version = endpoint.entry.softwareVersion!;
    this.sentByVersion.set(
      version,
      (this.sentByVersion.get(version) ?? 0) + 1,
    );
    const now = this.clock.monotonicMs();
    const isTarget = endpoint.entry.softwareVersion === this.#order?.target;
    if (this.#order !== undefined) {
      const sinceMs = now - this.#orderedMs;
      this.requests += sinceMs <= this.#order.durationMs ? 1 : 0;
      this.exposed += isTarget ? 1 : 0;
      this.lastExposedMs = isTarget ? sinceMs : this.lastExposedMs;
    }
    const route = ROUTES[Math.floor(this.#rng.fraction() * ROUTES.length)]!;
    const random = () => this.#rng.fraction();
    const normal = {
      isFailed: random() < 0.004,
      durationMs: 100 * Math.exp(random() + random() - random() - random()),
    };
    const answer = this.#options.answer({
      isTarget,
      index: Number(/\d+$/.exec(endpoint.entry.id)![0]),
      route,
      sinceS: (now - this.#orderedMs) / 1_000,
      normal,
      random,
    });
    node.inFlight.set(
      endpoint.key,
      (node.inFlight.get(endpoint.key) ?? 0) + 1,
    );
    this.#after(answer.durationMs, () => {
      node.inFlight.set(endpoint.key, node.inFlight.get(endpoint.key)! - 1);
      if (!this.#endpoints.includes(endpoint)) {
        this.cut += 1;
        return;
      }
      const isBad = answer.isFailed ||
        answer.durationMs > 3 * normal.durationMs;
      this.badAnswers += isTarget && isBad ? 1 : 0;
      if (this.badAnswers === 50) {
        this.fiftiethBadMs = Math.min(
          this.fiftiethBadMs,
          this.clock.monotonicMs() - this.#orderedMs,
        );
      }
      node.rollouts.recordAnswer({ endpoint, route, sentMs: now, ...answer });
    });
  }

  #exchange(): void {
    this.#round += 1;
    for (const [place, { id, rollouts, isDown }] of this.nodes.entries()) {
      if (isDown) {
        continue;
      }
      const isUrgent = rollouts.tick();
      if (!isUrgent && this.#round % ROUNDS_PER_REPORT !== 0) {
        this.#write(rollouts);
        continue;
      }
      const passedOn = rollouts.otherReports();
      const reports = rollouts.reports(id);
      const fanout = isUrgent ? this.nodes.length : FANOUT;
      for (let step = 1; step <= fanout; step += 1) {
        const offset = this.#round / ROUNDS_PER_REPORT * FANOUT + step;
        const to = this
          .nodes[(place + Math.floor(offset)) % this.nodes.length]!;
        if (to.id === id || this.#rng.fraction() < this.lostReports) {
          continue;
        }
        reports.forEach((report) =>
          to.rollouts.merge(report, { isDirect: true })
        );
        const other = passedOn[this.#round % Math.max(1, passedOn.length)];
        if (
          other !== undefined && other.source !== to.id &&
          step <= PASSING_FANOUT
        ) {
          to.rollouts.merge(other, { isDirect: false });
        }
      }
      this.#write(rollouts);
    }
  }

  /** Lets a node write; with luck several at once, as none waits for its turn. */
  #write(rollouts: VersionRollouts): void {
    for (const { order, state, replaces } of rollouts.wantedStatuses()) {
      if (
        this.isStoreAway || order !== this.#order ||
        replaces !== (this.status?.revision ?? 0)
      ) {
        continue;
      }
      this.#revision += 1;
      this.status = { state, revision: this.#revision };
      this.writes.push(state);
      const { status } = this;
      if (this.#rng.fraction() >= this.lostAnswers) {
        rollouts.setStatus("model", status);
      }
      if (state === "completed") {
        const kept = this.#endpoints.filter(({ entry: { softwareVersion } }) =>
          softwareVersion === order.target
        );
        this.#endpoints.splice(0, this.#endpoints.length, ...kept);
      }
      this.#after(
        NEWS_DELAY_MS,
        () =>
          this.nodes.forEach((node) =>
            node.rollouts.setStatus("model", status)
          ),
      );
    }
  }

  #after(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.clock.monotonicMs() + delayMs, run });
  }
}
