// Checks that dependencies between packages point one way and that every
// import of a package is declared.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const ROOT = new URL("..", import.meta.url).pathname;
const PACKAGES = [...readdirSync(join(ROOT, "packages")), "platform"];

function packagePath(name) {
  return name === "platform" ? join(ROOT, name) : join(ROOT, "packages", name);
}

function declared(name) {
  const text = readFileSync(join(packagePath(name), "package.json"));
  return Object.keys(JSON.parse(text).dependencies);
}

function sources(directory) {
  if (!existsSync(directory)) {
    return [];
  }
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      return sources(path);
    }
    return path.endsWith(".ts") ? [path] : [];
  });
}

function imported(name) {
  const found = new Set();
  for (const part of ["src", "tests"]) {
    const files = sources(join(packagePath(name), part));
    for (const file of files) {
      const text = readFileSync(file, "utf8");
      for (const [, target] of text.matchAll(/from "(@limpetshed\/\w+)"/g)) {
        found.add(target);
      }
    }
  }
  return found;
}

const faults = [];
const state = new Map();

function visit(name, path) {
  if (state.get(name) === "done") {
    return;
  }
  if (state.get(name) === "open") {
    faults.push(`dependency cycle: ${[...path, name].join(" -> ")}`);
    return;
  }
  state.set(name, "open");
  for (const target of declared(name)) {
    if (target.startsWith("@limpetshed/")) {
      visit(target.slice("@limpetshed/".length), [...path, name]);
    }
  }
  state.set(name, "done");
}

for (const name of PACKAGES) {
  visit(name, []);
  const known = new Set(declared(name));
  const used = imported(name);
  for (const target of used) {
    if (!known.has(target)) {
      faults.push(`${name} imports ${target} without declaring it`);
    }
  }
  for (const target of known) {
    if (target.startsWith("@limpetshed/") && !used.has(target)) {
      faults.push(`${name} declares ${target} without using it`);
    }
  }
}

for (const fault of faults) {
  console.error(fault);
}
console.log(`${PACKAGES.length} packages, ${faults.length} faults`);
process.exitCode = faults.length === 0 ? 0 : 1;
