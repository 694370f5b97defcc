import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import {
  AccountLoads,
  type Endpoint,
  EndpointRegistry,
  ExecutionTimes,
  hasScarceSlots,
  LoadTracker,
  OverloadGuard,
  PrefixCacheIndex,
  PrefixPolicy,
  RecentLoads,
  ScarceSlots,
  ServiceLatency,
} from "../../src/index.ts";
import { entry } from "../fixtures.ts";

/** A load before three endpoints of six slots. */
export interface ScarceLoad {
  nodes: number;
  /** Requests per second as a multiple of what 18 slots execute. */
  rate: (second: number) => number;
  /** Endpoints in service; 3 if undefined. */
  alive?: (second: number) => number;
  /** How often a refused caller comes back; each waits at most a third of the time
   * that it has left. */
  returns?: number;
  isScarceRuleUsed: boolean;
  seed: number;
}

const SLOTS = 6;
const QUEUE = 24;
const EXECUTION_MS = 64;
const TARGET_MS = 300;
const DEADLINE_MS = 3_000;
const ROUND_MS = 200;
const FANOUT = 10;
const DEFAULT_RETRY_AFTER_MS = 300;
const DURATION_MS = 15_000;
const CAPACITY_PER_MS = 3 * SLOTS / EXECUTION_MS;

/** Plays the load; returns the number of callers, and of those who were served at
 * all and within their target. Each node knows its own requests; it tells ten
 * others of them in each round. */
export async function playScarceLoad(
  { nodes, rate, alive = () => 3, returns = 1, isScarceRuleUsed, seed }:
    ScarceLoad,
): Promise<{ callers: number; served: number; inTime: number }> {
  const clock = new ManualClock();
  const rng = new Rng(seed);
  const registry = new EndpointRegistry({ clock });
  const endpoints = ["a", "b", "c"].map((availabilityZone, index) =>
    registry.put(entry(`e${index}`, { slots: SLOTS, availabilityZone }))
  );
  const queues = endpoints.map(() => ({
    running: 0,
    waiting: [] as (() => void)[],
  }));
  const fleet = Array.from({ length: nodes }, (_, index) => {
    const loads = new LoadTracker({ clock });
    const latency = new ServiceLatency();
    const executionTimes = new ExecutionTimes();
    const random = () => rng.fraction();
    const guard = new OverloadGuard({
      loads,
      latency,
      accounts: new AccountLoads(),
      scarceSlots: new ScarceSlots({
        loads: new RecentLoads({ clock, loads }),
        executionTimes,
        random,
      }),
    });
    const policy = new PrefixPolicy({
      loads,
      cacheIndex: new PrefixCacheIndex({ clock }),
      availabilityZone: "abc"[index % 3]!,
      loadMultiple: 2,
      findEndpoint: () => undefined,
    });
    return { loads, latency, executionTimes, guard, policy };
  });
  const counts = { callers: 0, served: 0, inTime: 0 };

  /** Executes a request; calls `onEnd` with whether it was executed. */
  const execute = (endpoint: Endpoint, onEnd: (ran: boolean) => void) => {
    const queue = queues[endpoints.indexOf(endpoint)]!;
    const start = () => {
      queue.running += 1;
      clock.setTimer(EXECUTION_MS * 2 * rng.fraction(), () => {
        queue.running -= 1;
        queue.waiting.shift()?.();
        onEnd(true);
      });
    };
    if (queue.running < SLOTS) {
      start();
    } else if (queue.waiting.length < QUEUE) {
      queue.waiting.push(start);
    } else {
      onEnd(false);
    }
  };
  const call = (firstMs: number, returnsLeft: number) => {
    const node = fleet[rng.int(nodes)]!;
    const leftMs = firstMs + DEADLINE_MS - clock.monotonicMs();
    const refuse = (retryAfterMs: number) => {
      if (returnsLeft > 0) {
        const delayMs = Math.min(retryAfterMs, leftMs / 3);
        clock.setTimer(delayMs, () => call(firstMs, returnsLeft - 1));
      }
    };
    const candidates = endpoints.slice(0, alive(clock.monotonicMs() / 1_000));
    const service = "model";
    const admission = node.guard.admit({
      service,
      account: undefined,
      priority: 1,
      targetLatencyMs: TARGET_MS,
      leftMs,
      candidates,
      isScarce: isScarceRuleUsed && hasScarceSlots(candidates, nodes),
    });
    if ("refusal" in admission) {
      refuse(
        admission.retryAfterMs ??
          Math.max(DEFAULT_RETRY_AFTER_MS, admission.waitMs),
      );
      return;
    }
    const { endpoint } = node.policy.select({
      service,
      prompt: undefined,
      serviceEndpoints: candidates,
      candidates: admission.endpoints,
    });
    const load = node.loads.totalInFlight(endpoint.key);
    const sentMs = clock.monotonicMs();
    node.loads.begin(endpoint.key);
    execute(endpoint, (ran) => {
      node.loads.end(endpoint.key);
      if (!ran) {
        refuse(DEFAULT_RETRY_AFTER_MS);
        return;
      }
      const durationMs = clock.monotonicMs() - sentMs;
      node.latency.record(service, durationMs);
      node.executionTimes.record({ service, durationMs, load, slots: SLOTS });
      counts.served += 1;
      counts.inTime += clock.monotonicMs() - firstMs <= TARGET_MS ? 1 : 0;
    });
  };
  fleet.forEach(({ loads }, index) => {
    let offset = 0;
    const tell = () => {
      for (let step = 0; step < FANOUT; step += 1) {
        const peer = (index + 1 + (offset + step) % (nodes - 1)) % nodes;
        fleet[peer]!.loads.setPeerCounts(`n${index}`, loads.localCounts());
      }
      offset = (offset + FANOUT) % (nodes - 1);
      clock.setTimer(ROUND_MS, tell);
    };
    clock.setTimer(ROUND_MS * rng.fraction(), tell);
  });
  const arrive = () => {
    counts.callers += 1;
    call(clock.monotonicMs(), returns);
    const now = clock.monotonicMs();
    if (now < DURATION_MS) {
      const meanMs = 1 / (CAPACITY_PER_MS * rate(now / 1_000));
      clock.setTimer(meanMs * 2 * rng.fraction(), arrive);
    }
  };
  arrive();
  await clock.advance(DURATION_MS + DEADLINE_MS);
  return counts;
}
