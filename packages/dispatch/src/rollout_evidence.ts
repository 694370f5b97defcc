import type { Clock } from "@limpetshed/base";
import {
  type AnswerCell,
  OTHER_GROUP,
  type RolloutReport,
} from "./rollout_report.ts";
import type { RouteTally, Tally } from "./rollout_verdict.ts";

/** An answer of an endpoint. */
export interface RolloutAnswer {
  route: string;
  group: number;
  isFailed: boolean;
  /** Time to the end of the answer, milliseconds; infinite if its time was over
   * first, undefined if it says nothing. */
  durationMs: number | undefined;
}

/** The latest state of one source. */
interface Source {
  report: Omit<RolloutReport, "cells">;
  /** Monotonic time at which its latest report was received. */
  heardMs: number;
  readonly cells: Map<string, AnswerCell>;
}

/** Durations up to a quarter of an hour. */
const BUCKETS = 40;
const BUCKETS_PER_OCTAVE = 2;
const SNAPSHOT_INTERVAL_MS = 500;
/** Time that a comparison covers which isn't made over all of the rollout: a
 * version may turn bad late. */
const WINDOW_MS = 3_000;
/** Routes that are told apart; the others count together. */
const MAX_ROUTES = 16;
const OTHER_ROUTES = "*";
const MAX_SOURCES = 2_000;

/** The answers to a service in a rollout, of all nodes. */
export class RolloutEvidence {
  readonly #clock: Clock;
  readonly #own = new Map<string, AnswerCell>();
  readonly #ownRoutes = new Set<string>();
  readonly #sources = new Map<string, Source>();
  readonly #totals = new Map<string, RouteTally>();
  #snapshots: { atMs: number; totals: Map<string, RouteTally> }[] = [];

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Records an answer to this node. */
  record({ route, group, isFailed, durationMs }: RolloutAnswer): void {
    const name = this.#ownRoutes.has(route) || this.#ownRoutes.size < MAX_ROUTES
      ? route
      : OTHER_ROUTES;
    this.#ownRoutes.add(name);
    const key = cellKey({ route: name, group });
    const known = this.#own.get(key);
    const buckets = [...known?.buckets ?? []];
    if (durationMs !== undefined) {
      const index = toBucket(durationMs);
      while (buckets.length <= index) {
        buckets.push(0);
      }
      buckets[index]! += 1;
    }
    const cell: AnswerCell = {
      route: name,
      group,
      answered: (known?.answered ?? 0) + 1,
      failed: (known?.failed ?? 0) + (isFailed ? 1 : 0),
      buckets,
    };
    this.#own.set(key, cell);
    this.#addToTotals(cell, known);
  }

  /** Takes a report of another node, or one that another node passes on;
   * `isDirect` if it comes from its source. */
  merge(report: RolloutReport, { isDirect }: { isDirect: boolean }): void {
    const { cells, ...head } = report;
    let source = this.#sources.get(report.source);
    if (source === undefined) {
      if (this.#sources.size >= MAX_SOURCES) {
        return;
      }
      source = { report: head, heardMs: -Infinity, cells: new Map() };
      this.#sources.set(report.source, source);
    }
    if (report.sequence >= source.report.sequence) {
      source.report = head;
    }
    if (isDirect) {
      source.heardMs = this.#clock.monotonicMs();
    }
    for (const cell of cells) {
      const key = cellKey(cell);
      const known = source.cells.get(key);
      if (known === undefined || cell.answered > known.answered) {
        source.cells.set(key, cell);
        this.#addToTotals(cell, known);
      }
    }
  }

  /** The answers to this node. */
  ownCells(): AnswerCell[] {
    return [...this.#own.values()];
  }

  /** The known reports of other nodes. */
  reports(): RolloutReport[] {
    return [...this.#sources.values()].map(({ report, cells }) => ({
      ...report,
      cells: [...cells.values()],
    }));
  }

  /** The latest reports of the nodes that were heard of within `withinMs`. */
  heard(withinMs: number): Omit<RolloutReport, "cells">[] {
    const sinceMs = this.#clock.monotonicMs() - withinMs;
    return [...this.#sources.values()]
      .filter(({ heardMs }) => heardMs >= sinceMs)
      .map(({ report }) => report);
  }

  /** What to compare: all routes lately and, unless `isRecentOnly`, since the
   * order. */
  comparisons({ isRecentOnly }: { isRecentOnly: boolean }): RouteTally[][] {
    this.#takeSnapshot();
    const before = this.#snapshots[0]!.totals;
    const recent = [...this.#totals].map(([route, tally]) => {
      const earlier = before.get(route);
      return earlier === undefined ? tally : difference(tally, earlier);
    });
    return isRecentOnly ? [recent] : [recent, [...this.#totals.values()]];
  }

  #takeSnapshot(): void {
    const now = this.#clock.monotonicMs();
    const last = this.#snapshots.at(-1);
    if (last === undefined || now - last.atMs >= SNAPSHOT_INTERVAL_MS) {
      this.#snapshots.push({ atMs: now, totals: copyTotals(this.#totals) });
    }
    while (
      this.#snapshots.length > 1 && now - this.#snapshots[1]!.atMs >= WINDOW_MS
    ) {
      this.#snapshots.shift();
    }
  }

  #addToTotals(cell: AnswerCell, known: AnswerCell | undefined): void {
    let route = this.#totals.get(cell.route);
    if (route === undefined) {
      route = { other: emptyTally(), groups: new Map() };
      this.#totals.set(cell.route, route);
    }
    let tally: Tally | undefined = route.other;
    if (cell.group !== OTHER_GROUP) {
      const groups = route.groups as Map<number, Tally>;
      tally = groups.get(cell.group) ?? emptyTally();
      groups.set(cell.group, tally);
    }
    tally.answered += cell.answered - (known?.answered ?? 0);
    tally.failed += cell.failed - (known?.failed ?? 0);
    for (const [index, count] of cell.buckets.entries()) {
      if (index < BUCKETS) {
        tally.buckets[index]! += count - (known?.buckets[index] ?? 0);
      }
    }
  }
}

function cellKey({ route, group }: Pick<AnswerCell, "route" | "group">) {
  return `${group}/${route}`;
}

function toBucket(durationMs: number): number {
  const step = Math.floor(BUCKETS_PER_OCTAVE * Math.log2(durationMs));
  return Math.min(BUCKETS - 1, Math.max(0, step));
}

function emptyTally(): Tally {
  return {
    answered: 0,
    failed: 0,
    buckets: new Array<number>(BUCKETS).fill(0),
  };
}

function copyTotals(
  totals: ReadonlyMap<string, RouteTally>,
): Map<string, RouteTally> {
  const copy = ({ answered, failed, buckets }: Tally): Tally => ({
    answered,
    failed,
    buckets: [...buckets],
  });
  return new Map(
    [...totals].map(([route, { other, groups }]) => [route, {
      other: copy(other),
      groups: new Map(
        [...groups].map(([group, tally]) => [group, copy(tally)]),
      ),
    }]),
  );
}

function difference(now: RouteTally, before: RouteTally): RouteTally {
  const subtract = (a: Tally, b: Tally | undefined): Tally => ({
    answered: a.answered - (b?.answered ?? 0),
    failed: a.failed - (b?.failed ?? 0),
    buckets: a.buckets.map((count, index) => count - (b?.buckets[index] ?? 0)),
  });
  return {
    other: subtract(now.other, before.other),
    groups: new Map(
      [...now.groups].map((
        [group, tally],
      ) => [group, subtract(tally, before.groups.get(group))]),
    ),
  };
}
