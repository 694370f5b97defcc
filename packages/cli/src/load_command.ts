import { writeFileSync } from "node:fs";
import { initHashing } from "@limpetshed/hashing";
import { renderHtmlReport, runLoad } from "@limpetshed/load";
import { readTextFile } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import {
  durationOptionMs,
  positiveNumberOption,
  requiredOption,
  stringOption,
} from "./options.ts";
import { printJson } from "./output.ts";

/** `load`: sends chats from a seeded generator and reports the results. */
export const loadCommand: Command = {
  name: "load",
  usage: "--urls URL[,URL] --keys FILE --model NAME [--rate N] " +
    "[--duration 20s] [--seed N] [--json FILE] [--html FILE]",
  summary: "Send multi-turn chats to nodes; report latencies and cache reuse.",
  options: {
    urls: { type: "string", short: "u" },
    keys: { type: "string" },
    model: { type: "string" },
    rate: { type: "string" },
    duration: { type: "string" },
    seed: { type: "string" },
    json: { type: "string" },
    html: { type: "string" },
  },
  run: async (parsed) => {
    await initHashing();
    const keys = readTextFile(requiredOption(parsed, "keys"), "keys").trim()
      .split(
        "\n",
      );
    const summary = await runLoad({
      urls: requiredOption(parsed, "urls").split(","),
      keys,
      ratePerSecond: positiveNumberOption(parsed, "rate", 20),
      durationMs: durationOptionMs(parsed, "duration", "20s"),
      chats: {
        seed: positiveNumberOption(parsed, "seed", 1),
        models: requiredOption(parsed, "model").split(","),
      },
    });
    const json = stringOption(parsed, "json", "");
    const html = stringOption(parsed, "html", "");
    if (json !== "") {
      writeFileSync(json, JSON.stringify(summary, null, 2));
    }
    if (html !== "") {
      writeFileSync(html, renderHtmlReport(summary));
    }
    const { perSecond: _, ...totals } = summary;
    printJson(totals);
  },
};
