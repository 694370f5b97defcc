import { performance } from "node:perf_hooks";
import { Agent } from "undici";
import { Rng } from "@limpetshed/hashing";
import { sendChatRequest } from "./send_chat_request.ts";
import { ChatGenerator, type ChatGeneratorOptions } from "./chat_generator.ts";
import { LoadStats, type LoadSummary } from "./load_stats.ts";

/** Options of {@linkcode runLoad}. */
export interface RunLoadOptions {
  /** Base URLs of the nodes; each request goes to a random one. */
  urls: readonly string[];
  /** API keys of members; each request uses a random one. */
  keys: readonly string[];
  /** Mean request rate; intervals are exponentially distributed. */
  ratePerSecond: number;
  durationMs: number;
  /** Maximum concurrent requests. */
  maxInFlight?: number;
  timeoutMs?: number;
  chats: ChatGeneratorOptions;
}

const CONNECTIONS_PER_NODE = 256;

/** Sends chats from a seeded generator and summarizes the results. */
export async function runLoad(options: RunLoadOptions): Promise<LoadSummary> {
  const { urls, keys, ratePerSecond, durationMs, chats } = options;
  const { maxInFlight = 2_000, timeoutMs = 60_000 } = options;
  const rng = new Rng(chats.seed + 1);
  const generator = new ChatGenerator(chats);
  const stats = new LoadStats();
  const dispatcher = new Agent({ connections: CONNECTIONS_PER_NODE });
  const inFlight = new Set<Promise<void>>();
  const startedMs = performance.now();
  let sendAtMs = 0;
  for (;;) {
    sendAtMs += -Math.log(1 - rng.fraction()) * 1_000 / ratePerSecond;
    if (sendAtMs >= durationMs) {
      break;
    }
    await sleepUntil(startedMs + sendAtMs);
    if (inFlight.size >= maxInFlight) {
      await Promise.race(inFlight);
    }
    const url = rng.pick(urls) ?? "";
    const key = rng.pick(keys) ?? "";
    const sentAtMs = performance.now() - startedMs;
    const task = (async () => {
      const turn = generator.next();
      const result = await sendChatRequest(turn, {
        url,
        key,
        dispatcher,
        timeoutMs,
      });
      generator.answered(turn, result.answer);
      stats.add(sentAtMs, result);
    })();
    inFlight.add(task);
    void task.finally(() => inFlight.delete(task));
  }
  await Promise.all(inFlight);
  await dispatcher.close();
  return stats.summarize(durationMs / 1_000);
}

async function sleepUntil(targetMs: number): Promise<void> {
  const remainingMs = targetMs - performance.now();
  if (remainingMs > 1) {
    await new Promise((resolve) => setTimeout(resolve, remainingMs));
  }
}
