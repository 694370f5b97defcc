import type { OptionTable, ParsedOptions } from "./options.ts";

/** One command of the command line. */
export interface Command {
  /** Words that call it, such as `config get`. */
  name: string;
  /** Arguments as the help shows them. */
  usage: string;
  /** One line on what it does. */
  summary: string;
  options: OptionTable;
  /** Most positional arguments. */
  positionals?: number;
  /** Runs it; resolves when done. */
  run: (parsed: ParsedOptions) => Promise<void>;
}
