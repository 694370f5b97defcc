import process from "node:process";

/** Writes one line to standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes data as indented JSON to standard output. */
export function printJson(data: unknown): void {
  print(JSON.stringify(data, null, 2));
}
