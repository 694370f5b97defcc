// Runs the bundled program with the code cache that the build wrote beside it,
// which spares each start the compilation of the program.
"use strict";
const { readFileSync } = require("node:fs");
const { Module } = require("node:module");
const { dirname, join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

/** Bytes that a WebAssembly function executes, roughly, before V8 optimizes it:
 * those of thousands of responses for the HTTP parser. Optimizing that takes more
 * processor time than all else that a node does at startup, and by default begins
 * with the first responses. */
const WASM_TIERING_BUDGET_BYTES = 1_000_000_000;

const filename = join(__dirname, "limpetshed_bundle.cjs");

/** The code cache; undefined if it cannot be read. */
function readCodeCache() {
  try {
    return readFileSync(`${filename}.cache`);
  } catch {
    return undefined;
  }
}

// V8 ignores the cache of another version of V8 or with other flags.
const script = new Script(Module.wrap(readFileSync(filename, "utf8")), {
  filename,
  cachedData: readCodeCache(),
});
// Flags that are set earlier would make V8 reject the cache.
setFlagsFromString(`--wasm-tiering-budget=${WASM_TIERING_BUDGET_BYTES}`);
script.runInThisContext().call(
  exports,
  exports,
  require,
  module,
  filename,
  dirname(filename),
);
