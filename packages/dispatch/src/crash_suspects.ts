import type { Clock } from "@limpetshed/base";
import { rendezvousRank } from "@limpetshed/hashing";
import { type CrashReport, toCrash, toCrashReport } from "./crash_report.ts";
import { CrashReportQueue } from "./crash_report_queue.ts";
import { isPartTrait, serviceInTraits } from "./crash_traits.ts";
import { type LostResponse, LostResponses } from "./lost_responses.ts";
import { ProvenTraits } from "./proven_traits.ts";
import { type CrashSuspect, SuspectTraits } from "./suspect_traits.ts";
import type { Crash } from "./trait_evidence.ts";

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
  /** Called when evidence was dropped since it exceeded a bound. */
  onDropped?: (dropped: { reports: number; traits: number }) => void;
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
/** Reports repeated for nodes that have joined or lost them. Most of them are of
 * the traits with the most crashes, the others of all suspect traits in turn. */
const MAX_REPEATED_REPORTS = 24;
const MAX_FIRST_REPORTS = 16;
/** Latest crashes of one trait that are repeated; more than any level needs. */
const MAX_REPEATED_CRASHES = 6;
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
  readonly #reports = new CrashReportQueue();
  #lastRepeatMs = Number.NEGATIVE_INFINITY;
  #repeatOffset = 0;

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

  /** Whether a request with these traits may have crashed endpoints. */
  isSuspected(traits: readonly string[]): boolean {
    return traits.some((trait) => this.#suspects.crashes(trait).length > 0);
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

  /** Records that an endpoint refuses connections, has restarted or is gone.
   * `noticeMs` is the time that this may have taken to notice. */
  recordEndpointDown(endpoint: string, { noticeMs = 0 } = {}): void {
    const lost = this.#lostResponses.endpointDown(endpoint, { noticeMs });
    this.#addCrashes(endpoint, lost);
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
        this.#reportCleared(trait, endpoint, endpoints.length);
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
        this.#reportCleared(trait, endpoint, 1);
      } else {
        this.#addPeerCrash(trait, toCrash(report, now));
        // The other node knows that the endpoint is down.
        this.recordEndpointDown(endpoint, { noticeMs: report.crashAgeMs });
      }
    }
  }

  /** Takes the reports of the next broadcast round. The function that it returns
   * makes them, with ages as of its call. */
  takeReports(): () => CrashReport[] {
    this.#suspects.expire();
    const round = this.#reports.takeRound();
    const dropped = {
      reports: this.#reports.takeDropped(),
      traits: this.#suspects.takeDropped(),
    };
    if (dropped.reports + dropped.traits > 0) {
      this.#options.onDropped?.(dropped);
    }
    return () => {
      const now = this.#clock.monotonicMs();
      return round.map((makeReport) => makeReport(now));
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
    const reports = (["refused", "trial"] as const).flatMap((level) =>
      this.#suspects.atLevel(level)
        .map((trait) => ({ trait, crashes: this.#suspects.crashes(trait) }))
        .sort((a, b) => b.crashes.length - a.crashes.length)
        .flatMap(({ trait, crashes }) =>
          crashes.slice(-MAX_REPEATED_CRASHES).map((crash) =>
            toCrashReport(trait, crash, now)
          )
        )
    );
    const others = reports.splice(MAX_FIRST_REPORTS);
    const start = others.length === 0 ? 0 : this.#repeatOffset % others.length;
    const inTurn = [...others.slice(start), ...others.slice(0, start)]
      .slice(0, MAX_REPEATED_REPORTS - MAX_FIRST_REPORTS);
    this.#repeatOffset += inTurn.length;
    return [...reports, ...inTurn];
  }

  #addCrashes(endpoint: string, lost: readonly LostResponse[]): void {
    if (lost.length === 0) {
      return;
    }
    this.#options.onCrash?.(endpoint, lost);
    // Evidence that was added last is dropped last: that of the requests that ran
    // for the shortest time.
    const inOrder = [...lost].sort((a, b) => a.sentMs - b.sentMs);
    for (const { traits, trials, sentMs, lostMs } of inOrder) {
      for (const trait of traits) {
        const isTrial = trials.includes(trait);
        const crash = { endpoint, sentMs, crashedMs: lostMs, isTrial };
        if (this.#suspects.add(trait, crash)) {
          this.#reportCrash(trait, crash);
        }
      }
    }
  }

  /** Adds a crash that another node reported. Tells the other nodes all crashes of
   * a trait that becomes suspect: each of them may know only some. */
  #addPeerCrash(trait: string, crash: Crash): void {
    const level = this.#suspects.level(trait);
    if (
      this.#suspects.add(trait, crash) && this.#suspects.level(trait) !== level
    ) {
      this.#suspects.crashes(trait).slice(-MAX_REPEATED_CRASHES)
        .forEach((known) => this.#reportCrash(trait, known));
    }
  }

  #reportCrash(trait: string, crash: Crash): void {
    const { endpoint, sentMs, crashedMs } = crash;
    this.#reports.add({
      kind: "crash",
      trait,
      endpoint,
      crashCount: this.#suspects.crashes(trait).length,
      runMs: crashedMs - sentMs,
      make: (nowMs) => toCrashReport(trait, crash, nowMs),
    });
  }

  #reportCleared(trait: string, endpoint: string, crashCount: number): void {
    this.#reports.add({
      kind: "cleared",
      trait,
      endpoint,
      crashCount,
      runMs: 0,
      make: () => ({ kind: "cleared", trait, endpoint }),
    });
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
