import { setInvariantHandler } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import type { Settings } from "@limpetshed/settings";
import { CRASH_TEXT } from "@limpetshed/stand_ins";
import { type FaultName, FAULTS } from "./faults.ts";
import { type TestAnswer, TestFleet } from "./test_fleet.ts";
import { type Violation, WorkChecks } from "./work_checks.ts";

/** What a history did and found. */
export interface HistoryReport {
  seed: number;
  faults: readonly FaultName[];
  violations: Violation[];
  outcomes: Record<string, number>;
  holdOutcomes: Record<string, number>;
  chats: number;
  starts: number;
  worstMultiple: number;
  cacheReuse: number;
}

/** Options of {@linkcode runHistory}. */
export interface HistoryOptions {
  seed: number;
  faults: readonly FaultName[];
  /** Milliseconds of load. */
  lengthMs?: number;
  /** Milliseconds between two chats. */
  everyMs?: number;
  /** Placement policy; the baselines break what the product keeps. */
  policy?: Settings["routing"]["policy"];
}

interface Chat {
  id: number;
  messages: { role: string; content: string }[];
  busy: boolean;
}

interface Hold {
  reference: string;
  answers: TestAnswer[];
}

const ZONES = 3;
const HOLD_EVERY = 4;
const MAX_TOKENS = 8;
const WHOLE_TEXT = Array.from({ length: MAX_TOKENS }, (_, at) => `w${at} `);

/** State that faults act on. */
export class History {
  readonly fleet: TestFleet;
  readonly checks: WorkChecks;
  readonly rng: Rng;
  readonly patched: { id: string; version: number }[] = [];
  readonly chats: Chat[] = [];
  readonly holds: Hold[] = [];
  readonly outcomes = new Map<string, number>();
  readonly poisonAnswers: TestAnswer[] = [];
  readonly pending = new Set<Promise<void>>();
  sent = 0;
  /** Crashes while the crashing request was being resent. */
  poisonCrashes = 0;

  constructor(fleet: TestFleet, rng: Rng) {
    this.fleet = fleet;
    this.rng = rng;
    this.checks = new WorkChecks({ fleet });
    for (const [index, engine] of fleet.models().entries()) {
      this.checks.hook(engine, `z${index % ZONES + 1}`);
    }
  }

  /** A live node; undefined when all are gone. */
  anyNode(): string | undefined {
    const ready = [...this.fleet.nodes.values()].filter(({ node }) =>
      node.ready
    );
    return this.rng.pick(ready)?.id;
  }

  /** Runs a task beside the load; the history waits for it at its end. */
  beside(task: () => Promise<void>): void {
    const running = task();
    this.pending.add(running);
    void running.finally(() => this.pending.delete(running));
  }

  /** Submits a patch and keeps what was accepted. */
  async patch(patch: { [key: string]: never } | object): Promise<boolean> {
    const node = this.anyNode();
    if (node === undefined) {
      return false;
    }
    const { configRepository: keeper } = this.fleet.node(node).node;
    const id = `p${this.rng.int(1_000_000_000)}`;
    try {
      const { version } = await keeper.patch({
        expectedVersion: keeper.snapshot.version,
        id,
        author: "test",
        patch: patch as never,
      });
      this.patched.push({ id, version });
      return true;
    } catch {
      return false;
    }
  }

  /** Sends the next turn of a chat, or of a new one. */
  sendChat(): void {
    const node = this.anyNode();
    if (node === undefined) {
      return;
    }
    const idle = this.chats.filter((chat) => !chat.busy);
    const returning = this.rng.fraction() < 0.7;
    const chat = (returning ? this.rng.pick(idle) : undefined) ??
      this.#newChat();
    chat.busy = true;
    this.sent += 1;
    const turn = Math.floor(chat.messages.length / 2);
    chat.messages.push({ role: "user", content: `turn ${turn} of ${chat.id}` });
    this.beside(async () => {
      const answer = await this.fleet.chat({
        node,
        messages: [...chat.messages],
        maxTokens: MAX_TOKENS,
      });
      this.#noteChat(chat, answer);
    });
  }

  /** Sends a hold through one to three nodes at once, then once more. */
  sendHold(): void {
    const reference = `hold-${this.holds.length}`;
    const hold: Hold = { reference, answers: [] };
    this.holds.push(hold);
    const send = async () => {
      const node = this.anyNode();
      if (node !== undefined) {
        hold.answers.push(
          await this.fleet.hold(node, { reference, key: reference }),
        );
      }
    };
    this.beside(async () => {
      const callers = 1 + this.rng.int(3);
      await Promise.all(Array.from({ length: callers }, send));
      await send();
    });
  }

  /** Sends a request that crashes endpoints, again and again. */
  async sendPoison(times: number): Promise<void> {
    for (let sent = 0; sent < times; sent += 1) {
      const node = this.anyNode();
      if (node === undefined) {
        return;
      }
      this.sent += 1;
      this.poisonAnswers.push(
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

  #noteChat(chat: Chat, answer: TestAnswer): void {
    chat.busy = false;
    const { outcome, text } = answer;
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    if (outcome !== "ok") {
      chat.messages.pop();
      return;
    }
    const words = [...text.matchAll(/"content":"(w\d+ )"/g)].map((m) => m[1]);
    if (words.join("") !== WHOLE_TEXT.join("")) {
      this.checks.add("whole answer in order", words.join(""));
    }
    chat.messages.push({ role: "assistant", content: words.join("") });
  }
}

/** Runs a fleet under load with faults and checks what must hold. */
export async function runHistory(
  { seed, faults, lengthMs = 12_000, everyMs = 60, policy = "owner" }:
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
      const startMs = 1_000 + rng.int(lengthMs / 3);
      history.beside(async () => {
        await waitFor(history, startMs);
        await FAULTS[name](history);
      });
    }
    const steps = Math.floor(lengthMs / everyMs);
    for (let step = 0; step < steps; step += 1) {
      history.sendChat();
      if (step % HOLD_EVERY === 0) {
        history.sendHold();
      }
      await fleet.run(everyMs * rng.jitter(0.9));
    }
    await fleet.until(() => history.pending.size === 0, 90_000);
    if (history.pending.size > 0) {
      checks.add("every request ends", `${history.pending.size} open`);
    }
    await fleet.run(15_000);
    checkEnd(history);
  } finally {
    setInvariantHandler(throwOnBroken);
    await fleet.close();
  }
  return report(history, seed, faults);
}

/** Lets the driven clock reach a time from now. */
export async function waitFor(history: History, ms: number): Promise<void> {
  await new Promise<void>((resolve) =>
    history.fleet.clock.setTimer(ms, resolve)
  );
}

function throwOnBroken(name: string, details: Record<string, unknown>): void {
  throw new Error(`invariant ${name}: ${JSON.stringify(details)}`);
}

function checkEnd(history: History): void {
  const { fleet, checks, holds, sent } = history;
  for (const { reference, answers } of holds) {
    checkHold(history, reference, answers);
  }
  const cold = fleet.models().filter(({ coldOverloads }) => coldOverloads > 0);
  for (const engine of cold) {
    checks.add("cold start bearable", `${engine.id}: ${engine.coldOverloads}`);
  }
  if (checks.starts > 1.1 * sent + 1) {
    checks.add("attempts within budget", `${checks.starts} of ${sent}`);
  }
  checkConfig(history);
}

function checkHold(
  { fleet, checks }: History,
  reference: string,
  answers: readonly TestAnswer[],
): void {
  const executions = fleet.executions(reference);
  if (executions > 1) {
    checks.add("at most once", `${reference}: ${executions}`);
  }
  const allNotRun = answers.length > 0 &&
    answers.every(({ run }) => run === "not-run");
  if (allNotRun && executions > 0) {
    checks.add("not-run is true", reference);
  }
  const someRan = answers.some(({ run }) => run === "ran");
  if (someRan && executions === 0) {
    checks.add("ran is true", reference);
  }
}

function checkConfig({ fleet, checks, patched }: History): void {
  const versions = [...fleet.nodes.values()].map(({ node }) =>
    node.configRepository.snapshot.version
  );
  if (new Set(versions).size > 1) {
    checks.add("one version everywhere", versions.join());
  }
  const newest = Math.max(0, ...versions);
  for (const { id, version } of patched) {
    if (version > newest) {
      checks.add("accepted is in force", `${id}: ${version} > ${newest}`);
    }
  }
  if (new Set(patched.map(({ version }) => version)).size < patched.length) {
    checks.add("one patch per version", JSON.stringify(patched));
  }
}

function report(
  history: History,
  seed: number,
  faults: readonly FaultName[],
): HistoryReport {
  const { checks, outcomes, holds, fleet } = history;
  const holdOutcomes: Record<string, number> = {};
  for (const { outcome } of holds.flatMap(({ answers }) => answers)) {
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
    worstMultiple: checks.worstMultiple,
    cacheReuse: cached / Math.max(1, prompt),
  };
}
