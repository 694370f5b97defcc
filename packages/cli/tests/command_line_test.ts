import { expect } from "chai";
import { describe, it } from "mocha";
import { EXIT_CODES } from "../src/command_error.ts";
import { runCommand } from "../src/run_command.ts";

describe("command line", () => {
  const cases: [string[], keyof typeof EXIT_CODES][] = [
    [["version"], "ok"],
    [["help"], "ok"],
    [["config", "patch", "--help"], "ok"],
    [["nonsense"], "usage"],
    [["serve"], "usage"],
    [["serve", "--setings", "x"], "usage"],
    [["serve", "--settings", "/does/not/exist"], "settings"],
    [["load", "--urls", "x", "--keys", "x", "--rate", "-1"], "usage"],
    [["demo", "--rate", "fast"], "usage"],
    [["demo", "--duration", "10"], "usage"],
    [["config", "patch", "--version", "x", "--key-file", "x"], "usage"],
  ];
  for (const [args, exit] of cases) {
    it(`limpetshed ${args.join(" ")}: ${exit}`, async () => {
      expect(await runCommand(args)).to.equal(EXIT_CODES[exit]);
    });
  }
});
