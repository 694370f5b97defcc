import { performance } from "node:perf_hooks";
import { Agent } from "undici";
import { Rng } from "@limpetshed/hashing";
import { callChat } from "./chat_caller.ts";
import { ChatGenerator, type ChatGeneratorOptions } from "./chat_generator.ts";
import { LoadStats, type LoadSummary } from "./load_stats.ts";

/** Options of {@linkcode runLoad}. */
export interface RunLoadOptions {
  /** Base URLs of the nodes; callers are spread over them. */
  urls: readonly string[];
  /** Members' keys; callers are spread over them. */
  keys: readonly string[];
  /** Requests a second, at exponentially distributed intervals. */
  ratePerSecond: number;
  durationMs: number;
  /** Most requests open at once. */
  maxOpen?: number;
  timeoutMs?: number;
  chats: ChatGeneratorOptions;
}

const CONNECTIONS_PER_NODE = 256;

/** Sends a seeded load and sums up what the callers saw. */
export async function runLoad(options: RunLoadOptions): Promise<LoadSummary> {
  const { urls, keys, ratePerSecond, durationMs, chats } = options;
  const { maxOpen = 2_000, timeoutMs = 60_000 } = options;
  const rng = new Rng(chats.seed + 1);
  const generator = new ChatGenerator(chats);
  const stats = new LoadStats();
  const dispatcher = new Agent({ connections: CONNECTIONS_PER_NODE });
  const open = new Set<Promise<void>>();
  const startedMs = performance.now();
  let dueMs = 0;
  for (;;) {
    dueMs += -Math.log(1 - rng.fraction()) * 1_000 / ratePerSecond;
    if (dueMs >= durationMs) {
      break;
    }
    await pauseUntil(startedMs + dueMs);
    if (open.size >= maxOpen) {
      await Promise.race(open);
    }
    const url = rng.pick(urls) ?? "";
    const key = rng.pick(keys) ?? "";
    const atMs = performance.now() - startedMs;
    const task = (async () => {
      const turn = generator.next();
      const result = await callChat(turn, { url, key, dispatcher, timeoutMs });
      generator.answered(turn, result.answer);
      stats.add(atMs, result);
    })();
    open.add(task);
    void task.finally(() => open.delete(task));
  }
  await Promise.all(open);
  await dispatcher.close();
  return stats.summary(durationMs / 1_000);
}

async function pauseUntil(dueMs: number): Promise<void> {
  const ms = dueMs - performance.now();
  if (ms > 1) {
    await new Promise((resolve) => setTimeout(resolve, ms));
  }
}
