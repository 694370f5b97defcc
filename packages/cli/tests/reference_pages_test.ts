import { readFileSync } from "node:fs";
import { expect } from "chai";
import { describe, it } from "mocha";
import { REFERENCE_PAGES } from "../src/reference_command.ts";

/** Removes table padding and line breaks, which the formatter changes. */
function normalizeSpacing(text: string): string {
  return text.replace(/[-\s|]+/g, " ").trim();
}

describe("reference pages", () => {
  for (const [name, renderPage] of Object.entries(REFERENCE_PAGES)) {
    it(`docs/operators/${name.toUpperCase()}.md is up to date`, () => {
      const url = new URL(
        `../../../../docs/operators/${name.toUpperCase()}.md`,
        import.meta.url,
      );
      expect(normalizeSpacing(readFileSync(url, "utf8"))).to.equal(
        normalizeSpacing(renderPage()),
      );
    });
  }
});
