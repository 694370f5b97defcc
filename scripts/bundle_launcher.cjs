// Runs the bundled program with the code cache that the build wrote beside it,
// which spares each start the compilation of the program.
"use strict";
const { readFileSync } = require("node:fs");
const { Module } = require("node:module");
const { dirname, join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

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
// V8 would optimize the HTTP parser, a WebAssembly function, after a hundred
// responses, which takes as much processor time as all the rest of a start; the
// parser's share of a request is too small to win that back. A flag that is set
// before the script is made would have its cache rejected.
setFlagsFromString("--liftoff-only");
script.runInThisContext().call(
  exports,
  exports,
  require,
  module,
  filename,
  dirname(filename),
);
