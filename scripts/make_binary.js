// Builds the command-line interface as a single executable: build/limpetshed.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";
import { readFileSync } from "node:fs";
import process from "node:process";

const SEA_SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("build", { recursive: true });
await build({
  entryPoints: ["packages/cli/dist/src/main.js"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: "build/limpetshed.cjs",
  external: ["unix-dgram"],
  define: { "import.meta.url": "undefined" },
  logLevel: "error",
});
writeFileSync(
  "build/sea.json",
  JSON.stringify({
    main: "build/limpetshed.cjs",
    output: "build/sea.blob",
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"]);
copyFileSync(process.execPath, "build/limpetshed");
chmodSync("build/limpetshed", 0o755);
await inject(
  "build/limpetshed",
  "NODE_SEA_BLOB",
  readFileSync("build/sea.blob"),
  {
    sentinelFuse: SEA_SENTINEL_FUSE,
  },
);
console.log("build/limpetshed");
