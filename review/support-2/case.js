// Runs one case: keeps its record, ends what it started, and sets the exit code.
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Fleet } from "./nodes.js";
import { Store } from "./store.js";

const MAX_MS = 110_000;
export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;

/** The case cannot run on this machine or build. */
export class SetupError extends Error {}

/**
 * Runs `play`, which resolves to `{ broken, summary }`, and ends the process.
 * `url` is that of the case's script, beside which the record is written.
 */
export async function runCase(url, play) {
  const startMs = performance.now();
  const lines = [];
  const closers = [];
  const record = (text) => {
    const line = `${Math.round(performance.now() - startMs)} ms  ${text}`;
    lines.push(line);
  };
  const context = {
    isTroubled: process.env.TROUBLE !== "0",
    record,
    nowMs: () => Math.round(performance.now() - startMs),
    store: new Store(),
    fleet: new Fleet(),
    onClose: (fn) => closers.push(fn),
  };
  record(`trouble: ${context.isTroubled ? "yes" : "no"}`);
  let code = EXIT_NOT_RUN;
  let guard;
  try {
    const timeout = new Promise((_, reject) => {
      // An error of the case itself says nothing about the rule.
      process.on("uncaughtException", reject);
      process.on("unhandledRejection", reject);
      guard = setTimeout(
        () => reject(new SetupError("the case took too long")),
        MAX_MS,
      );
    });
    const { broken, summary } = await Promise.race([play(context), timeout]);
    code = broken ? EXIT_BROKEN : EXIT_HELD;
    record(`${broken ? "BROKEN" : "held"}: ${summary}`);
    console.log(`${broken ? "BROKEN" : "held"}: ${summary}`);
  } catch (err) {
    record(`could not run: ${err.stack}`);
    console.log(`could not run: ${err.message}`);
  }
  clearTimeout(guard);
  for (const close of closers) {
    await close();
  }
  for (const node of context.fleet.nodes) {
    node.ends.forEach(({ code, signal }) =>
      record(
        `${node.name} had ended by itself: code ${code}, ${signal}; ` +
          `${node.lastError()}`,
      )
    );
  }
  await context.fleet.close();
  context.store.close();
  writeFileSync(new URL("record.txt", url), `${lines.join("\n")}\n`);
  process.exit(code);
}

/** Starts the nodes and waits until all are ready. */
export async function startNodes({ fleet, record }) {
  fleet.nodes.forEach((node) => node.start());
  if (!await fleet.ready()) {
    throw new SetupError("the nodes did not become ready");
  }
  record(`${fleet.nodes.length} nodes are ready`);
}

/** Throws if a node ended by itself: the case is about something else then. */
export function checkNodes({ fleet }) {
  const ended = fleet.nodes.find(({ ends }) => ends.length > 0);
  if (ended !== undefined) {
    throw new SetupError(
      `${ended.name} ended by itself: ${ended.lastError()}`,
    );
  }
}
