import { readFileSync } from "node:fs";
import { expect } from "chai";
import { describe, it } from "mocha";
import { REFERENCES } from "../src/reference_command.ts";

/** The formatter pads tables; only the words count. */
function words(text: string): string {
  return text.replace(/[-\s|]+/g, " ").trim();
}

describe("reference pages", () => {
  for (const [name, make] of Object.entries(REFERENCES)) {
    it(`docs/operators/${name.toUpperCase()}.md is current`, () => {
      const url = new URL(
        `../../../../docs/operators/${name.toUpperCase()}.md`,
        import.meta.url,
      );
      expect(words(readFileSync(url, "utf8"))).to.equal(words(make()));
    });
  }
});
