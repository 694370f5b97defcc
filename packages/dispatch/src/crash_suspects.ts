import type { Clock } from "@limpetshed/base";
import { rendezvousRank } from "@limpetshed/hashing";
import { type CrashReport, toCrash, toCrashReport } from "./crash_report.ts";
import { isPartTrait, serviceInTraits } from "./crash_traits.ts";
import { type LostResponse, LostResponses } from "./lost_responses.ts";
import { ProvenTraits } from "./proven_traits.ts";
import { type CrashSuspect, SuspectTraits } from "./suspect_traits.ts";

/** Whether a request may be sent to an endpoint. */
export type CrashVerdict =
  | { outcome: "allowed" }
  | {
    outcome: "refused";
    /** The trait that is the reason. */
    trait: string;
    /** Time until the request may be allowed, milliseconds. */
    waitMs: number;
  };

/** Options of {@linkcode CrashSuspects}. */
export interface CrashSuspectsOptions {
  clock: Clock;
  nodeId?: string;
  /** Ids of all nodes, including this one. */
  nodeIds?: () => readonly string[];
  /** Called when requests with a trait begin to be refused, or are again. */
  onRefused?: (suspect: CrashSuspect) => void;
  /** Called when a trait that was refused has proved harmless. */
  onCleared?: (trait: string) => void;
  /** Called when an endpoint is found to have crashed with responses of this
   * node. */
  onCrash?: (endpoint: string, lost: readonly LostResponse[]) => void;
}

/** Time between the nodes' first trials of a trait after its refusal, so that the
 * first crash is known before the next one. */
const TRIAL_STAGGER_MS = 2_000;
const MAX_TRIAL_STAGGERS = 5;
/** Wait for a trial of this node to end; about the duration of a short chat. */
const TRIAL_WAIT_MS = 500;
/** A part crashes an endpoint that begins to answer it, so a response that has
 * gone on for longer does not speak against its parts. */
const MAX_START_MS = 2_000;
/** Reports of one broadcast round. */
const MAX_REPORTS = 128;
/** Reports repeated for nodes that have joined or lost them. */
const MAX_REPEATED_REPORTS = 24;
const REPEAT_INTERVAL_MS = 1_000;

/**
 * Detects what crashes endpoints: a part of the prompts of requests, or one
 * request that is repeated. All that ran on a crashed endpoint is suspect; a
 * complete response clears what its request has in common with others, so that
 * what remains is guilty. The count is that of the fleet: nodes exchange reports.
 */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  readonly #clock: Clock;
  readonly #lostResponses: LostResponses;
  readonly #proven: ProvenTraits;
  readonly #suspects: SuspectTraits;
  /** Requests in flight at endpoints, by trait. */
  readonly #inFlight = new Map<string, number>();
  /** Functions that make the reports to send next. */
  #pendingReports: ((nowMs: number) => CrashReport)[] = [];
  #lastRepeatMs = Number.NEGATIVE_INFINITY;

  constructor(options: CrashSuspectsOptions) {
    const { clock, onRefused = () => {}, onCleared = () => {} } = options;
    this.#options = options;
    this.#clock = clock;
    this.#lostResponses = new LostResponses({ clock });
    this.#proven = new ProvenTraits({ clock });
    this.#suspects = new SuspectTraits({
      clock,
      proven: this.#proven,
      onRefused,
      onCleared,
    });
  }

  /** Whether any crash is recorded; if not, callers can skip computing
   * fingerprints. */
  get hasCrashes(): boolean {
    return this.#suspects.size > 0;
  }

  /** Traits whose requests are refused. */
  get refusedTraits(): readonly string[] {
    return this.#suspects.atLevel("refused");
  }

  /** Decides whether a request with these traits may be sent. */
  verdict(traits: readonly string[]): CrashVerdict {
    let verdict: CrashVerdict = { outcome: "allowed" };
    let longestMs = 0;
    for (const trait of traits) {
      const waitMs = this.#waitMs(trait, traits);
      if (waitMs > longestMs) {
        longestMs = waitMs;
        verdict = { outcome: "refused", trait, waitMs };
      }
    }
    return verdict;
  }

  /** Records that a request is sent to an endpoint; returns the traits that it is
   * to try, since they are suspect. */
  begin(traits: readonly string[]): string[] {
    for (const trait of traits) {
      this.#inFlight.set(trait, (this.#inFlight.get(trait) ?? 0) + 1);
    }
    return traits.filter((trait) => this.#suspects.level(trait) === "refused");
  }

  /** Records the end of an attempt that `begin` was called for. */
  end(traits: readonly string[]): void {
    for (const trait of traits) {
      const count = (this.#inFlight.get(trait) ?? 0) - 1;
      if (count > 0) {
        this.#inFlight.set(trait, count);
      } else {
        this.#inFlight.delete(trait);
      }
    }
  }

  /** Records that the connection to an endpoint ended before the response was
   * complete. */
  recordLostResponse(
    { traits, trials = [], endpoint, sentMs, answeringMs = 0 }: {
      traits: readonly string[];
      /** What `begin` returned. */
      trials?: readonly string[];
      /** Key of the endpoint. */
      endpoint: string;
      /** Monotonic time at which the request was sent. */
      sentMs: number;
      /** Time since the start of the response. */
      answeringMs?: number;
    },
  ): void {
    const lost = this.#lostResponses.add({
      endpoint,
      traits: answeringMs <= MAX_START_MS
        ? traits
        : traits.filter((trait) => !isPartTrait(trait)),
      trials,
      sentMs,
      lostMs: this.#clock.monotonicMs(),
    });
    this.#addCrashes(endpoint, lost);
  }

  /** Records that an endpoint refuses connections or has restarted. */
  recordEndpointDown(endpoint: string): void {
    this.#addCrashes(endpoint, this.#lostResponses.endpointDown(endpoint));
  }

  /** Records that a request was answered in full, which clears its traits. */
  recordCompleted(service: string, traits: readonly string[]): void {
    this.#proven.add(serviceInTraits(service), traits.filter(isPartTrait));
    for (const trait of traits) {
      const endpoints = this.#suspects.crashes(trait).map((crash) =>
        crash.endpoint
      );
      for (const endpoint of endpoints) {
        this.#suspects.clear(trait, endpoint);
        this.#report(() => ({ kind: "cleared", trait, endpoint }));
      }
    }
  }

  /** Merges the reports of other nodes. */
  applyPeerReports(reports: readonly CrashReport[]): void {
    const now = this.#clock.monotonicMs();
    for (const report of reports) {
      const { trait, endpoint } = report;
      if (report.kind === "cleared") {
        this.#suspects.clear(trait, endpoint);
      } else if (this.#suspects.isCleared(trait, endpoint)) {
        this.#report(() => ({ kind: "cleared", trait, endpoint }));
      } else {
        this.#suspects.add(trait, toCrash(report, now));
      }
    }
  }

  /** Takes what this node has found out since the last call. The function that
   * it returns makes the reports, with ages as of its call. */
  takeReports(): () => CrashReport[] {
    this.#suspects.expire();
    const pending = this.#pendingReports;
    this.#pendingReports = [];
    return () => {
      const now = this.#clock.monotonicMs();
      return pending.map((makeReport) => makeReport(now));
    };
  }

  /** Returns the crashes of suspect traits once a second, for nodes that have
   * joined or lost reports. */
  repeatedReports(): CrashReport[] {
    const now = this.#clock.monotonicMs();
    if (now - this.#lastRepeatMs < REPEAT_INTERVAL_MS) {
      return [];
    }
    this.#lastRepeatMs = now;
    return this.#suspects.atLevel("refused", "trial").flatMap((trait) =>
      this.#suspects.crashes(trait).map((crash) =>
        toCrashReport(trait, crash, now)
      )
    ).slice(0, MAX_REPEATED_REPORTS);
  }

  #addCrashes(endpoint: string, lost: readonly LostResponse[]): void {
    if (lost.length === 0) {
      return;
    }
    this.#options.onCrash?.(endpoint, lost);
    for (const { traits, trials, sentMs, lostMs } of lost) {
      for (const trait of traits) {
        const isTrial = trials.includes(trait);
        const crash = { endpoint, sentMs, crashedMs: lostMs, isTrial };
        if (this.#suspects.add(trait, crash)) {
          this.#report((now) => toCrashReport(trait, crash, now));
        }
      }
    }
  }

  #report(makeReport: (nowMs: number) => CrashReport): void {
    if (this.#pendingReports.length < MAX_REPORTS) {
      this.#pendingReports.push(makeReport);
    }
  }

  /** Time for which a request with `traits` is refused because of one of them;
   * 0 if it is not. */
  #waitMs(trait: string, traits: readonly string[]): number {
    const level = this.#suspects.level(trait);
    if (level === "none") {
      return 0;
    }
    if (level === "refused" && !this.#suspects.isExplained(trait, traits)) {
      const remainingMs = this.#suspects.refusalRemainingMs(trait) +
        this.#trialStaggerMs(trait);
      if (remainingMs > 0) {
        return remainingMs;
      }
    }
    return this.#inFlight.has(trait) ? TRIAL_WAIT_MS : 0;
  }

  #trialStaggerMs(trait: string): number {
    const { nodeId = "", nodeIds = () => [] } = this.#options;
    const rank = rendezvousRank(trait, nodeIds()).indexOf(nodeId);
    return TRIAL_STAGGER_MS * Math.min(MAX_TRIAL_STAGGERS, Math.max(0, rank));
  }
}
