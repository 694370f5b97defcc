// Bundles the platform node: target/limpetshed.cjs starts it.
import {
  copyFileSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Module } from "node:module";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";
import { build } from "esbuild";

const ROOT = new URL("..", import.meta.url).pathname;
const LAUNCHER = `${ROOT}target/limpetshed.cjs`;
const BUNDLE = `${ROOT}target/limpetshed_bundle.cjs`;
const CODE_CACHE = `${BUNDLE}.cache`;

// The parts in use of libraries that load much else: all of undici adds 9 MB of
// memory to each process; prom-client's other parts load TLS, and undici's HTTP/2
// client that of Node.js, which take 10 ms each at startup.
const LIBRARY_SUBSETS = {
  "undici": `
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
exports.Client = require("undici/lib/dispatcher/client.js");
exports.buildConnector = require("undici/lib/core/connect.js");
`,
  "prom-client": `
exports.Registry = require("prom-client/lib/registry.js");
exports.Counter = require("prom-client/lib/counter.js");
exports.Gauge = require("prom-client/lib/gauge.js");
exports.Histogram = require("prom-client/lib/histogram.js");
`,
  "./client-h2.js": `
module.exports = () => {
  throw new Error("the HTTP/2 client is not bundled");
};
`,
};

const librarySubsetsPlugin = {
  name: "library-subsets",
  setup(config) {
    const filter = /^(undici|prom-client|\.\/client-h2\.js)$/;
    config.onResolve({ filter }, ({ path }) => ({
      path,
      namespace: "library-subsets",
    }));
    config.onLoad(
      { filter: /.*/, namespace: "library-subsets" },
      ({ path }) => ({ contents: LIBRARY_SUBSETS[path], resolveDir: ROOT }),
    );
  },
};

const alias = Object.fromEntries(
  readdirSync(`${ROOT}packages`).map((name) => [
    `@limpetshed/${name}`,
    `${ROOT}packages/${name}/src/index.ts`,
  ]),
);

// Its entry for Node.js loads its parts in a way that cannot be bundled.
alias["jsonc-parser"] = `${ROOT}node_modules/jsonc-parser/lib/esm/main.js`;

/** Compiles all functions of the bundle into a code cache. */
function makeCodeCache() {
  // The flag decides only what is compiled now. It is set back before the cache
  // is made, since V8 accepts a cache only under the flags that it was made with.
  setFlagsFromString("--no-lazy");
  const script = new Script(Module.wrap(readFileSync(BUNDLE, "utf8")), {
    filename: BUNDLE,
  });
  setFlagsFromString("--lazy");
  return script.createCachedData();
}

mkdirSync(`${ROOT}target`, { recursive: true });
// V8 knows a stale cache only by the length of its source.
rmSync(CODE_CACHE, { force: true });
await build({
  entryPoints: [`${ROOT}platform/src/main.ts`],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // Identifiers stay as they are: to keep only the names of functions takes a
  // call for each closure that is made.
  minifyWhitespace: true,
  minifySyntax: true,
  // Accessing these globals makes Node.js load its built-in HTTP client, which
  // is not used here and costs 15 ms at startup and 5 MB of memory.
  define: {
    "globalThis.Headers": "undefined",
    "globalThis.Response": "undefined",
  },
  outfile: BUNDLE,
  alias,
  plugins: [librarySubsetsPlugin],
  external: ["unix-dgram"],
  logLevel: "error",
});
writeFileSync(CODE_CACHE, makeCodeCache());
copyFileSync(`${ROOT}scripts/bundle_launcher.cjs`, LAUNCHER);
