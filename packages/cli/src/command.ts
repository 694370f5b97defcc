import type { OptionDefinitions, ParsedOptions } from "./options.ts";

/** A command of the command line. */
export interface Command {
  /** Name of the command, in one or two words, such as `config get`. */
  name: string;
  /** Arguments as shown in the help. */
  usage: string;
  /** Description in one line, for the help. */
  summary: string;
  options: OptionDefinitions;
  /** Maximum number of positional arguments; 0 by default. */
  positionals?: number;
  /** Runs the command with its parsed arguments. */
  run: (parsed: ParsedOptions) => Promise<void>;
}
