import type { FakeModelEngine } from "@limpetshed/stand_ins";
import type { TestFleet } from "./test_fleet.ts";

/** A violation of one of the rules that a history checks. */
export interface Violation {
  rule: string;
  atMs: number;
  detail: string;
}

/** Time within which a zone or endpoint that is out stops receiving new work. */
const OUT_GRACE_MS = 3_000;
/**
 * Owners learn each other's load with a delay of up to one heartbeat, and a
 * grant counts as load when it is given but is used up to one admission timeout
 * later. The mean is therefore computed over a window from one heartbeat before
 * the start of a request to one admission timeout after it: the sum of the
 * highest load of each endpoint, divided by the smallest number of endpoints
 * that were in service at their owners.
 */
const HEARTBEAT_MS = 1_000;
const ADMISSION_TIMEOUT_MS = 500;
const MEAN_WINDOW_MS = HEARTBEAT_MS + ADMISSION_TIMEOUT_MS;
const SAMPLE_MS = 20;

interface Sample {
  atMs: number;
  inFlight: number;
}

/**
 * Collects violations, and checks each request started at a model endpoint: its
 * endpoint and zone must not be out, and the endpoint's load must stay within a
 * multiple of the mean.
 */
export class WorkChecks {
  readonly violations: Violation[] = [];
  /** Highest load of an endpoint at the start of a request, divided by the mean. */
  maxLoadMultiple = 0;
  /** Requests started at the observed endpoints. */
  starts = 0;
  readonly #fleet: TestFleet;
  readonly #loadMultiple: number;
  readonly #outSinceMs = new Map<string, number>();
  readonly #zoneByEndpoint = new Map<string, string>();
  readonly #observed = new Set<FakeModelEngine>();
  readonly #loadSamples = new Map<string, Sample[]>();
  readonly #inServiceSamples: { atMs: number; count: number }[] = [];

  constructor(
    { fleet, loadMultiple = 2 }: { fleet: TestFleet; loadMultiple?: number },
  ) {
    this.#fleet = fleet;
    this.#loadMultiple = loadMultiple;
    this.#sampleAll();
  }

  /** Checks every request that starts at an endpoint from now on. */
  observe(engine: FakeModelEngine, zone: string): void {
    this.#zoneByEndpoint.set(engine.id, zone);
    if (this.#observed.has(engine)) {
      return;
    }
    this.#observed.add(engine);
    const start = engine.start.bind(engine);
    engine.start = (req) => {
      const run = start(req);
      this.#checkStart(engine);
      return run;
    };
  }

  /** Records that a zone or an endpoint is out from now on. */
  out(name: string): void {
    this.#outSinceMs.set(name, this.#now());
  }

  /** Records that a zone or an endpoint may receive work again. */
  in(name: string): void {
    this.#outSinceMs.delete(name);
  }

  /** Records a violation. */
  add(rule: string, detail: string): void {
    this.violations.push({ rule, atMs: this.#now(), detail });
  }

  #checkStart(engine: FakeModelEngine): void {
    this.starts += 1;
    this.#checkNotOut(engine, engine.id);
    this.#checkNotOut(engine, this.#zoneByEndpoint.get(engine.id) ?? "");
    this.#scheduleLoadCheck(engine);
  }

  #checkNotOut(engine: FakeModelEngine, name: string): void {
    const sinceMs = this.#outSinceMs.get(name);
    if (sinceMs !== undefined && this.#now() - sinceMs > OUT_GRACE_MS) {
      this.add("no new work when out", `${engine.id}: ${name} out`);
    }
  }

  /** Smallest number of endpoints in service within the window. */
  #minInService(): number {
    return Math.min(...this.#inServiceSamples.map(({ count }) => count));
  }

  #sampleInService(): void {
    const ids = new Set<string>();
    for (const { node } of this.#fleet.nodes.values()) {
      for (const owned of node.endpointOwner.owned()) {
        const { id, availabilityZone, service } = owned.info;
        const zoneIn = node.configRepository.snapshot.isZoneIn(
          availabilityZone,
        );
        if (owned.inService && zoneIn && service === "chat") {
          ids.add(id);
        }
      }
    }
    const atMs = this.#now();
    this.#inServiceSamples.push({ atMs, count: ids.size });
    while (atMs - this.#inServiceSamples[0]!.atMs > MEAN_WINDOW_MS) {
      this.#inServiceSamples.shift();
    }
  }

  #sampleAll(): void {
    this.#sampleInService();
    this.#fleet.models().forEach((engine) => this.#sampleLoad(engine));
    this.#fleet.clock.setTimer(SAMPLE_MS, () => this.#sampleAll());
  }

  #sampleLoad({ id, inFlight }: FakeModelEngine): void {
    const atMs = this.#now();
    const samples = this.#loadSamples.get(id) ?? [];
    samples.push({ atMs, inFlight });
    while (atMs - samples[0]!.atMs > MEAN_WINDOW_MS) {
      samples.shift();
    }
    this.#loadSamples.set(id, samples);
  }

  #peakLoad({ id }: FakeModelEngine): number {
    const samples = this.#loadSamples.get(id) ?? [];
    return Math.max(0, ...samples.map(({ inFlight }) => inFlight));
  }

  #scheduleLoadCheck(engine: FakeModelEngine): void {
    this.#sampleLoad(engine);
    const { inFlight } = engine;
    this.#fleet.clock.setTimer(
      ADMISSION_TIMEOUT_MS,
      () => this.#checkLoadBound(engine.id, inFlight),
    );
  }

  #checkLoadBound(id: string, inFlight: number): void {
    const totalPeak = this.#fleet.models().reduce(
      (sum, other) => sum + this.#peakLoad(other),
      0,
    );
    const mean = totalPeak / Math.max(1, this.#minInService());
    const bound = Math.max(1, Math.floor(this.#loadMultiple * mean));
    this.maxLoadMultiple = Math.max(this.maxLoadMultiple, inFlight / mean);
    if (inFlight > bound) {
      this.add(
        "load within the multiple of the mean",
        `${id}: ${inFlight} open, bound ${bound}, total ${totalPeak}`,
      );
    }
  }

  #now(): number {
    return this.#fleet.clock.monotonicMs();
  }
}
