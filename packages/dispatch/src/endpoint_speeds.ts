import type { Clock } from "@limpetshed/base";

/** Reports closer together than this are of the same moment and count as one. */
const SAMPLE_INTERVAL_MS = 500;
/** Samples kept for each endpoint. */
const MAX_SAMPLES = 4;
/** Samples from which an endpoint's own figures alone are believed; fewer are
 * filled up with the usual speed. */
const MIN_SAMPLES = 3;
/** Time after which a sample no longer counts, so that an endpoint that was slow
 * is tried again. */
const SAMPLE_MAX_AGE_MS = 20_000;
/** Delay of a report on its arrival, and time in which what it says of the moment
 * loses half of its weight: a disturbance lasts some 600 ms, and a report may be
 * of any part of it. */
const REPORT_DELAY_MS = 200;
const MOMENT_HALF_LIFE_MS = 150;
/** Own reports kept for the other nodes; more than arrive in a round. */
const MAX_OWN_REPORTS = 64;
/** Range of figures that are believed. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 20;
/** Work takes as long as usual. */
const USUAL = 1;
/** Bounds the memory for endpoints that are gone. */
const MAX_ENDPOINTS = 10_000;

/** How long work takes at an endpoint, in multiples of the usual time. */
export interface SpeedEstimate {
  /** Now, as far as the last report still tells. */
  now: number;
  /** Once the disturbances of the moment are over: as usual, unless the samples
   * agree on something else. */
  lasting: number;
  /** Bounds of what lasts. Disturbances make an endpoint slower, not faster: no
   * sample is below `low`, one above `high`. */
  low: number;
  high: number;
  /** Age of the last report, milliseconds. */
  ageMs: number;
}

/** A figure that an endpoint reported to a node. */
export interface SpeedReport {
  /** Key of the endpoint. */
  endpoint: string;
  slowness: number;
  ageMs: number;
}

interface Sample {
  startMs: number;
  atMs: number;
  slowness: number;
}

/**
 * Estimates how fast endpoints are, from the figure that some report. It tells
 * what lasts (VMs of different speed, an endpoint that turns several times
 * slower) from disturbances by other guests of a VM, which come and go faster
 * than reports arrive: what nearly all spaced samples say lasts, and the last
 * report counts beyond it only for as long as a disturbance takes. Endpoints are
 * identified by their `key`; those that report nothing have no estimate.
 */
export class EndpointSpeeds {
  readonly #clock: Clock;
  readonly #isEnabled: boolean;
  readonly #samples = new Map<string, Sample[]>();
  /** Last report of each endpoint to this node that the other nodes have yet to
   * receive. */
  #own = new Map<string, { slowness: number; atMs: number }>();

  constructor({ clock, isEnabled = true }: {
    clock: Clock;
    /** Whether reports are used; otherwise they are passed over. */
    isEnabled?: boolean;
  }) {
    this.#clock = clock;
    this.#isEnabled = isEnabled;
  }

  /** Whether no endpoint has ever reported the figure. */
  get isEmpty(): boolean {
    return this.#samples.size === 0;
  }

  /** How long work lastingly takes, by endpoint, for metrics. */
  get lasting(): ReadonlyMap<string, number> {
    const lasting = new Map<string, number>();
    for (const endpoint of this.#samples.keys()) {
      const estimate = this.estimate(endpoint);
      if (estimate !== undefined) {
        lasting.set(endpoint, estimate.lasting);
      }
    }
    return lasting;
  }

  /** Records that an endpoint told this node that work takes `slowness` times as
   * long as usual. */
  record(endpoint: string, slowness: number): void {
    if (!this.#isEnabled || !(slowness > 0)) {
      return;
    }
    this.#add({ endpoint, slowness, ageMs: 0 });
    if (this.#own.size < MAX_OWN_REPORTS || this.#own.has(endpoint)) {
      this.#own.set(endpoint, { slowness, atMs: this.#clock.monotonicMs() });
    }
  }

  /** Merges what endpoints told other nodes. */
  applyPeerReports(reports: readonly SpeedReport[]): void {
    for (const report of reports) {
      if (this.#isEnabled && report.slowness > 0) {
        this.#add(report);
      }
    }
  }

  /** Takes this node's reports since the last call, one for each endpoint. The
   * function that it returns makes them with ages as of its call. */
  takeReports(): () => SpeedReport[] {
    const own = this.#own;
    this.#own = new Map();
    return () =>
      [...own].map(([endpoint, { slowness, atMs }]) => ({
        endpoint,
        slowness,
        ageMs: this.#clock.monotonicMs() - atMs,
      }));
  }

  #add({ endpoint, slowness, ageMs }: SpeedReport): void {
    const atMs = this.#clock.monotonicMs() - ageMs;
    const samples = this.#samples.get(endpoint) ?? [];
    const believed = Math.min(
      MAX_SLOWNESS,
      Math.max(MIN_SLOWNESS, slowness),
    );
    const last = samples.at(-1);
    if (last === undefined || atMs - last.startMs >= SAMPLE_INTERVAL_MS) {
      samples.push({ startMs: atMs, atMs, slowness: believed });
      samples.splice(0, samples.length - MAX_SAMPLES);
    } else if (atMs >= last.atMs) {
      last.atMs = atMs;
      last.slowness = believed;
    }
    this.#samples.set(endpoint, samples);
    this.#evictOldest();
  }

  /** What is known of the endpoint's speed; undefined without a report of the last
   * `SAMPLE_MAX_AGE_MS`. */
  estimate(endpoint: string): SpeedEstimate | undefined {
    const nowMs = this.#clock.monotonicMs();
    const samples = (this.#samples.get(endpoint) ?? [])
      .filter(({ atMs }) => nowMs - atMs <= SAMPLE_MAX_AGE_MS);
    const last = samples.at(-1);
    if (last === undefined) {
      return undefined;
    }
    const sorted = samples.map(({ slowness }) => slowness);
    while (sorted.length < MIN_SAMPLES) {
      sorted.push(USUAL);
    }
    sorted.sort((a, b) => a - b);
    const ageMs = nowMs - last.atMs;
    const low = sorted[0]!;
    const high = sorted[sorted.length - 2]!;
    const lasting = Math.min(high, Math.max(low, USUAL));
    const weight = 2 ** -((ageMs + REPORT_DELAY_MS) / MOMENT_HALF_LIFE_MS);
    const now = lasting + (last.slowness - lasting) * weight;
    return { now, lasting, low, high, ageMs };
  }

  /** Discards what is known of a removed endpoint. */
  forget(endpoint: string): void {
    this.#samples.delete(endpoint);
    this.#own.delete(endpoint);
  }

  #evictOldest(): void {
    if (this.#samples.size > MAX_ENDPOINTS) {
      const [oldest] = this.#samples.keys();
      this.#samples.delete(oldest!);
    }
  }
}
