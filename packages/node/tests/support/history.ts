import { setInvariantHandler } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import type { Settings } from "@limpetshed/settings";
import { CRASH_TEXT } from "@limpetshed/stand_ins";
import { type FaultName, FAULTS } from "./faults.ts";
import { type RequestResult, TestFleet } from "./test_fleet.ts";
import { type Violation, WorkChecks } from "./work_checks.ts";

/** Counts and violations of one history. */
export interface HistoryReport {
  seed: number;
  faults: readonly FaultName[];
  violations: Violation[];
  outcomes: Record<string, number>;
  holdOutcomes: Record<string, number>;
  /** Chat requests sent. */
  chats: number;
  /** Requests started at model endpoints, retries included. */
  starts: number;
  maxLoadMultiple: number;
  /** Cached prompt tokens divided by prompt tokens. */
  cacheReuse: number;
}

/** Options of {@linkcode runHistory}. */
export interface HistoryOptions {
  seed: number;
  faults: readonly FaultName[];
  /** Duration of the load, in milliseconds. */
  durationMs?: number;
  /** Mean interval between chat requests, in milliseconds. */
  chatIntervalMs?: number;
  /** Placement policy; the baselines violate some of the checks. */
  policy?: Settings["routing"]["policy"];
}

interface Chat {
  id: number;
  messages: { role: string; content: string }[];
  busy: boolean;
}

interface Hold {
  reference: string;
  results: RequestResult[];
}

const ZONES = 3;
const STEPS_PER_HOLD = 4;
const MAX_TOKENS = 8;
/** Tokens that a model engine generates for {@linkcode MAX_TOKENS}. */
const EXPECTED_WORDS = Array.from({ length: MAX_TOKENS }, (_, at) => `w${at} `);

/** A fleet under load: its chats, holds and patches, and their checks. */
export class History {
  readonly fleet: TestFleet;
  readonly checks: WorkChecks;
  readonly rng: Rng;
  readonly acceptedPatches: { id: string; version: number }[] = [];
  readonly chats: Chat[] = [];
  readonly holds: Hold[] = [];
  readonly outcomes = new Map<string, number>();
  readonly poisonResults: RequestResult[] = [];
  /** Background tasks that have not settled. */
  readonly pending = new Set<Promise<void>>();
  sent = 0;
  /** Endpoint crashes while {@linkcode History.sendPoison} ran. */
  poisonCrashes = 0;

  constructor(fleet: TestFleet, rng: Rng) {
    this.fleet = fleet;
    this.rng = rng;
    this.checks = new WorkChecks({ fleet });
    for (const [index, engine] of fleet.models().entries()) {
      this.checks.observe(engine, `z${index % ZONES + 1}`);
    }
  }

  /** Picks a node that is ready; undefined if none is. */
  pickReadyNode(): string | undefined {
    const readyNodes = [...this.fleet.nodes.values()].filter(({ node }) =>
      node.ready
    );
    return this.rng.pick(readyNodes)?.id;
  }

  /** Runs a task in the background; the history waits for it at the end. */
  runInBackground(task: () => Promise<void>): void {
    const promise = task();
    this.pending.add(promise);
    void promise.finally(() => this.pending.delete(promise));
  }

  /** Submits a configuration patch; records it and returns true if accepted. */
  async patch(patch: { [key: string]: never } | object): Promise<boolean> {
    const node = this.pickReadyNode();
    if (node === undefined) {
      return false;
    }
    const { configRepository } = this.fleet.node(node).node;
    const id = `p${this.rng.int(1_000_000_000)}`;
    try {
      const { version } = await configRepository.patch({
        expectedVersion: configRepository.snapshot.version,
        id,
        author: "test",
        patch: patch as never,
      });
      this.acceptedPatches.push({ id, version });
      return true;
    } catch {
      return false;
    }
  }

  /** Sends the next turn of an idle chat, or the first turn of a new one. */
  sendChat(): void {
    const node = this.pickReadyNode();
    if (node === undefined) {
      return;
    }
    const idle = this.chats.filter((chat) => !chat.busy);
    const continues = this.rng.fraction() < 0.7;
    const chat = (continues ? this.rng.pick(idle) : undefined) ??
      this.#newChat();
    chat.busy = true;
    this.sent += 1;
    const turn = Math.floor(chat.messages.length / 2);
    chat.messages.push({ role: "user", content: `turn ${turn} of ${chat.id}` });
    this.runInBackground(async () => {
      const result = await this.fleet.chat({
        node,
        messages: [...chat.messages],
        maxTokens: MAX_TOKENS,
      });
      this.#recordChat(chat, result);
    });
  }

  /** Sends the same hold one to three times at once, then once more. */
  sendHold(): void {
    const reference = `hold-${this.holds.length}`;
    const hold: Hold = { reference, results: [] };
    this.holds.push(hold);
    const send = async () => {
      const node = this.pickReadyNode();
      if (node !== undefined) {
        hold.results.push(
          await this.fleet.postHold(node, { reference, key: reference }),
        );
      }
    };
    this.runInBackground(async () => {
      const concurrent = 1 + this.rng.int(3);
      await Promise.all(Array.from({ length: concurrent }, send));
      await send();
    });
  }

  /** Sends a request that crashes its endpoint `times` times in a row. */
  async sendPoison(times: number): Promise<void> {
    for (let sent = 0; sent < times; sent += 1) {
      const node = this.pickReadyNode();
      if (node === undefined) {
        return;
      }
      this.sent += 1;
      this.poisonResults.push(
        await this.fleet.chat({ node, text: `${CRASH_TEXT} now` }),
      );
    }
  }

  #newChat(): Chat {
    const id = this.chats.length;
    const catalogue = `catalogue ${id % 3} `.repeat(200);
    const chat = {
      id,
      busy: false,
      messages: [{ role: "system", content: catalogue }],
    };
    this.chats.push(chat);
    return chat;
  }

  #recordChat(chat: Chat, result: RequestResult): void {
    chat.busy = false;
    const { outcome, text } = result;
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    if (outcome !== "ok") {
      chat.messages.pop();
      return;
    }
    const words = [...text.matchAll(/"content":"(w\d+ )"/g)].map((m) => m[1]);
    if (words.join("") !== EXPECTED_WORDS.join("")) {
      this.checks.add("chat response complete and in order", words.join(""));
    }
    chat.messages.push({ role: "assistant", content: words.join("") });
  }
}

/** Runs a fleet under load, injects faults and checks the invariants. */
export async function runHistory(
  { seed, faults, durationMs = 12_000, chatIntervalMs = 60, policy = "owner" }:
    HistoryOptions,
): Promise<HistoryReport> {
  const fleet = await TestFleet.ready({
    seed,
    zones: ZONES,
    settings: (settings) => {
      settings.routing.policy = policy;
    },
  });
  const history = new History(fleet, new Rng(seed + 1));
  const { checks, rng } = history;
  setInvariantHandler((name, details) =>
    checks.add(`invariant ${name}`, JSON.stringify(details))
  );
  try {
    for (const name of faults) {
      const startMs = 1_000 + rng.int(durationMs / 3);
      history.runInBackground(async () => {
        await waitFor(history, startMs);
        await FAULTS[name](history);
      });
    }
    const steps = Math.floor(durationMs / chatIntervalMs);
    for (let step = 0; step < steps; step += 1) {
      history.sendChat();
      if (step % STEPS_PER_HOLD === 0) {
        history.sendHold();
      }
      await fleet.run(chatIntervalMs * rng.jitter(0.9));
    }
    await fleet.runUntil(() => history.pending.size === 0, 90_000);
    if (history.pending.size > 0) {
      checks.add("every request completes", `${history.pending.size} open`);
    }
    await fleet.run(15_000);
    checkFinalState(history);
  } finally {
    setInvariantHandler(throwOnInvariantBroken);
    await fleet.close();
  }
  return makeReport(history, seed, faults);
}

/** Resolves once the manual clock has advanced by `ms`. */
export async function waitFor(history: History, ms: number): Promise<void> {
  await new Promise<void>((resolve) =>
    history.fleet.clock.setTimer(ms, resolve)
  );
}

function throwOnInvariantBroken(
  name: string,
  details: Record<string, unknown>,
): void {
  throw new Error(`invariant ${name}: ${JSON.stringify(details)}`);
}

function checkFinalState(history: History): void {
  const { fleet, checks, holds, sent } = history;
  for (const { reference, results } of holds) {
    checkHold(history, reference, results);
  }
  const overloaded = fleet.models().filter(({ coldOverloads }) =>
    coldOverloads > 0
  );
  for (const engine of overloaded) {
    checks.add(
      "no overload during cold start",
      `${engine.id}: ${engine.coldOverloads}`,
    );
  }
  if (checks.starts > 1.1 * sent + 1) {
    checks.add("retries within budget", `${checks.starts} of ${sent}`);
  }
  checkConfig(history);
}

function checkHold(
  { fleet, checks }: History,
  reference: string,
  results: readonly RequestResult[],
): void {
  const executions = fleet.executions(reference);
  if (executions > 1) {
    checks.add("executed at most once", `${reference}: ${executions}`);
  }
  const allNotRun = results.length > 0 &&
    results.every(({ run }) => run === "not-run");
  if (allNotRun && executions > 0) {
    checks.add("not-run only if not executed", reference);
  }
  const someRan = results.some(({ run }) => run === "ran");
  if (someRan && executions === 0) {
    checks.add("ran only if executed", reference);
  }
}

function checkConfig({ fleet, checks, acceptedPatches }: History): void {
  const versions = [...fleet.nodes.values()].map(({ node }) =>
    node.configRepository.snapshot.version
  );
  if (new Set(versions).size > 1) {
    checks.add("same version on every node", versions.join());
  }
  const newest = Math.max(0, ...versions);
  for (const { id, version } of acceptedPatches) {
    if (version > newest) {
      checks.add("accepted patch in force", `${id}: ${version} > ${newest}`);
    }
  }
  if (
    new Set(acceptedPatches.map(({ version }) => version)).size <
      acceptedPatches.length
  ) {
    checks.add("one patch per version", JSON.stringify(acceptedPatches));
  }
}

function makeReport(
  history: History,
  seed: number,
  faults: readonly FaultName[],
): HistoryReport {
  const { checks, outcomes, holds, fleet } = history;
  const holdOutcomes: Record<string, number> = {};
  for (const { outcome } of holds.flatMap(({ results }) => results)) {
    holdOutcomes[outcome] = (holdOutcomes[outcome] ?? 0) + 1;
  }
  const prompt = fleet.models().reduce((sum, m) => sum + m.promptTokens, 0);
  const cached = fleet.models().reduce((sum, m) => sum + m.cachedTokens, 0);
  return {
    seed,
    faults,
    violations: checks.violations,
    outcomes: Object.fromEntries(outcomes),
    holdOutcomes,
    chats: history.sent,
    starts: checks.starts,
    maxLoadMultiple: checks.maxLoadMultiple,
    cacheReuse: cached / Math.max(1, prompt),
  };
}
