import { writeFileSync } from "node:fs";
import { initHashing } from "@limpetshed/hashing";
import { renderHtmlReport, runLoad } from "@limpetshed/load";
import { readTextFile } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { durationMs, number, required, text } from "./options.ts";
import { printJson } from "./output.ts";

/** `load`: sends a seeded caller load and reports what callers saw. */
export const loadCommand: Command = {
  name: "load",
  usage: "--urls URL[,URL] --keys FILE --model NAME [--rate N] " +
    "[--duration 20s] [--seed N] [--json FILE] [--html FILE]",
  summary: "Send returning chats to nodes; report latencies and cache reuse.",
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
    const keys = readTextFile(required(parsed, "keys"), "keys").trim().split(
      "\n",
    );
    const summary = await runLoad({
      urls: required(parsed, "urls").split(","),
      keys,
      ratePerSecond: number(parsed, "rate", 20),
      durationMs: durationMs(parsed, "duration", "20s"),
      chats: {
        seed: number(parsed, "seed", 1),
        models: required(parsed, "model").split(","),
      },
    });
    const json = text(parsed, "json", "");
    const html = text(parsed, "html", "");
    if (json !== "") {
      writeFileSync(json, JSON.stringify(summary, null, 2));
    }
    if (html !== "") {
      writeFileSync(html, renderHtmlReport(summary));
    }
    const { perSecond: _, ...short } = summary;
    printJson(short);
  },
};
