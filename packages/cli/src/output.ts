import process from "node:process";

/** Writes a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes data to standard output as indented JSON. */
export function printJson(data: unknown): void {
  printLine(JSON.stringify(data, null, 2));
}
