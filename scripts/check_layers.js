// Checks that the dependencies between packages have no cycles and that each
// package declares exactly those packages of this repository that it imports.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const ROOT = new URL("..", import.meta.url).pathname;
const PACKAGES = [...readdirSync(join(ROOT, "packages")), "platform"];

function packagePath(name) {
  return name === "platform" ? join(ROOT, name) : join(ROOT, "packages", name);
}

function declaredDependencies(name) {
  const text = readFileSync(join(packagePath(name), "package.json"));
  return Object.keys(JSON.parse(text).dependencies);
}

function listSourceFiles(directory) {
  if (!existsSync(directory)) {
    return [];
  }
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      return listSourceFiles(path);
    }
    return path.endsWith(".ts") ? [path] : [];
  });
}

function findImportedPackages(name) {
  const found = new Set();
  for (const folder of ["src", "tests"]) {
    const files = listSourceFiles(join(packagePath(name), folder));
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
const visitStates = new Map();

function checkCycles(name, path) {
  if (visitStates.get(name) === "visited") {
    return;
  }
  if (visitStates.get(name) === "visiting") {
    faults.push(`dependency cycle: ${[...path, name].join(" -> ")}`);
    return;
  }
  visitStates.set(name, "visiting");
  for (const target of declaredDependencies(name)) {
    if (target.startsWith("@limpetshed/")) {
      checkCycles(target.slice("@limpetshed/".length), [...path, name]);
    }
  }
  visitStates.set(name, "visited");
}

for (const name of PACKAGES) {
  checkCycles(name, []);
  const declared = new Set(declaredDependencies(name));
  const imported = findImportedPackages(name);
  for (const target of imported) {
    if (!declared.has(target)) {
      faults.push(`${name} imports ${target} without declaring it`);
    }
  }
  for (const target of declared) {
    if (target.startsWith("@limpetshed/") && !imported.has(target)) {
      faults.push(`${name} declares ${target} without using it`);
    }
  }
}

for (const fault of faults) {
  console.error(fault);
}
console.log(`${PACKAGES.length} packages, ${faults.length} faults`);
process.exitCode = faults.length === 0 ? 0 : 1;
