import type { Clock, Timer } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import {
  type Endpoint,
  EndpointRegistry,
} from "../../src/endpoint_registry.ts";
import { LoadTracker } from "../../src/load_tracker.ts";
import { PrefixCacheIndex } from "../../src/prefix_cache_index.ts";
import { PrefixPolicy } from "../../src/prefix_policy.ts";
import { entry, prompt } from "../fixtures.ts";

/** How long work takes at an endpoint, as a multiple of the usual time. */
export type Pattern = (endpoint: number, atMs: number) => number;

/** A model to play. */
export interface ModelOptions {
  nodes: number;
  pattern: Pattern;
  /** Whether the endpoints report their pace. */
  tellsPace: boolean;
  seed?: number;
  /** Part of the requests that share one text. */
  hotShare?: number;
}

/** What the callers and endpoints of a model saw. */
export interface ModelResult {
  meanMs: number;
  p99Ms: number;
  /** Part of the requests that came to an endpoint while it held more than the
   * bound, twice the mean and three. */
  overBound: number;
  /** Endpoint of each request. */
  choices: number[];
}

const ENDPOINTS = 24;
const SLOTS = 8;
const TEXTS = 96;
const WORK_MS = 300;
/** Extra work where the text is not cached, or only copied. */
const READ_MS = 120;
const COPY_MS = 20;
const TICK_MS = 10;
const LENGTH_MS = 20_000;
const REQUESTS_PER_TICK = 1.5;
const ROUND_MS = 200;
const FANOUT = 10;

class SteppedClock implements Clock {
  ms = 0;

  now(): Date {
    return new Date(this.ms);
  }

  monotonicMs(): number {
    return this.ms;
  }

  setTimer(): Timer {
    throw new Error("the model sets no timers");
  }
}

interface Run {
  leftMs: number;
  startMs: number;
  node: number;
}

/** Plays nodes that send requests to shared endpoints whose reports are 200 ms to
 * 1.5 s late; the time of a request grows with the pace and with those beside
 * it. */
export function playUneven(
  { nodes: nodeCount, pattern, tellsPace, seed = 1, hotShare = 0 }:
    ModelOptions,
): ModelResult {
  const clock = new SteppedClock();
  const rng = new Rng(seed);
  const registry = new EndpointRegistry({ clock });
  const order = new Map<string, number>();
  for (let index = 0; index < ENDPOINTS; index += 1) {
    registry.put(
      entry(`e${index}`, { slots: SLOTS, availabilityZone: "abc"[index % 3]! }),
    );
  }
  const endpoints = registry.usable("model");
  endpoints.forEach(({ key }, index) => order.set(key, index));
  const nodes = Array.from({ length: nodeCount }, (_, index) => {
    const loads = new LoadTracker({ clock });
    const cacheIndex = new PrefixCacheIndex({ clock });
    const policyRng = new Rng(seed * 1_000 + index);
    const policy = new PrefixPolicy({
      loads,
      cacheIndex,
      availabilityZone: "abc"[index % 3]!,
      loadMultiple: 2,
      findEndpoint: (key) => registry.getByKey(key),
      random: () => {
        if (!tellsPace) {
          throw new Error("nothing is drawn without the figure");
        }
        return policyRng.fraction();
      },
    });
    return { loads, cacheIndex, policy };
  });
  const running: Run[][] = endpoints.map(() => []);
  const cached = endpoints.map(() => new Set<string>());
  let reports: { dueMs: number; deliver: () => void }[] = [];
  const durations: number[] = [];
  const choices: number[] = [];
  let overBound = 0;
  let offset = 0;

  const report = (endpoint: Endpoint, index: number, node: number) => {
    const load = running[index]!.length;
    const pace = pattern(index, clock.ms);
    reports.push({
      dueMs: clock.ms + 200 + rng.fraction() * 1_300,
      deliver: () =>
        nodes[node]!.loads.recordReport(endpoint.key, {
          running: Math.min(load, SLOTS),
          waiting: Math.max(0, load - SLOTS),
          slots: SLOTS,
          slowness: tellsPace ? pace : undefined,
        }),
    });
  };

  const send = () => {
    const text = rng.fraction() < hotShare ? "hot" : `t${rng.int(TEXTS)}`;
    const node = rng.int(nodeCount);
    const { endpoint, copyFrom } = nodes[node]!.policy.select({
      service: "model",
      prompt: prompt(text),
      serviceEndpoints: endpoints,
      candidates: endpoints,
    });
    const index = order.get(endpoint.key)!;
    choices.push(index);
    nodes[node]!.loads.begin(endpoint.key);
    const readMs = cached[index]!.has(text)
      ? 0
      : copyFrom === undefined
      ? READ_MS
      : COPY_MS;
    cached[index]!.add(text);
    running[index]!.push({
      leftMs: WORK_MS + readMs,
      startMs: clock.ms,
      node,
    });
    const total = running.reduce((sum, { length }) => sum + length, 0);
    const bound = 2 * total / ENDPOINTS + 3;
    overBound += running[index]!.length > bound ? 1 : 0;
    report(endpoint, index, node);
  };

  const work = (index: number) => {
    const queue = running[index]!;
    const active = Math.min(queue.length, SLOTS);
    const done = TICK_MS /
      (pattern(index, clock.ms) * (1 + active / SLOTS));
    for (const run of queue.slice(0, SLOTS)) {
      run.leftMs -= done;
    }
    running[index] = queue.filter(({ leftMs, startMs, node }) => {
      if (leftMs <= 0) {
        nodes[node]!.loads.end(endpoints[index]!.key);
        durations.push(clock.ms - startMs);
      }
      return leftMs > 0;
    });
  };

  const exchange = () => {
    nodes.forEach(({ loads, cacheIndex }, from) => {
      const parts = cacheIndex.takeUpdates();
      const counts = loads.localCounts();
      const makeReports = loads.speeds.takeReports();
      nodes.forEach((peer, to) => {
        if (to !== from) {
          peer.cacheIndex.applyPeerUpdates(parts);
          peer.loads.speeds.applyPeerReports(makeReports());
          if ((to - offset + nodeCount) % nodeCount < FANOUT) {
            peer.loads.setPeerCounts(`n${from}`, counts);
          }
        }
      });
    });
    offset = (offset + FANOUT) % nodeCount;
  };

  let owed = 0;
  for (; clock.ms < LENGTH_MS; clock.ms += TICK_MS) {
    running.forEach((_, index) => work(index));
    reports.filter(({ dueMs }) => dueMs <= clock.ms)
      .forEach(({ deliver }) => deliver());
    reports = reports.filter(({ dueMs }) => dueMs > clock.ms);
    if (clock.ms % ROUND_MS === 0) {
      exchange();
    }
    for (owed += REQUESTS_PER_TICK; owed >= 1; owed -= 1) {
      send();
    }
  }
  // Requests that are still under way count with the time that they took so far.
  durations.push(
    ...running.flat().map(({ startMs }) => clock.ms - startMs),
  );
  durations.sort((a, b) => a - b);
  return {
    meanMs: durations.reduce((sum, ms) => sum + ms, 0) / durations.length,
    p99Ms: durations[Math.floor(durations.length * 0.99)]!,
    overBound: overBound / choices.length,
    choices,
  };
}
