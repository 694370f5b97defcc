// Bundles the node for the users' platform into target/limpetshed.cjs.
import { readdirSync } from "node:fs";
import { build } from "esbuild";

const ROOT = new URL("..", import.meta.url).pathname;

// Only the parts of the HTTP client that are used: the whole of it takes 9 MB
// more of each process.
const HTTP_CLIENT = `
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
exports.Client = require("undici/lib/dispatcher/client.js");
`;

const httpClient = {
  name: "http-client",
  setup(config) {
    config.onResolve({ filter: /^undici$/ }, () => ({
      path: "undici",
      namespace: "http-client",
    }));
    config.onLoad({ filter: /.*/, namespace: "http-client" }, () => ({
      contents: HTTP_CLIENT,
      resolveDir: ROOT,
    }));
  },
};

const alias = Object.fromEntries(
  readdirSync(`${ROOT}packages`).map((name) => [
    `@limpetshed/${name}`,
    `${ROOT}packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: [`${ROOT}platform/src/main.ts`],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: true,
  // Touching these makes the runtime load its own HTTP client at the start,
  // which no handler here uses: 15 ms and 5 MB.
  define: {
    "globalThis.Headers": "undefined",
    "globalThis.Response": "undefined",
  },
  outfile: `${ROOT}target/limpetshed.cjs`,
  alias,
  plugins: [httpClient],
  external: ["unix-dgram"],
  logLevel: "error",
});
