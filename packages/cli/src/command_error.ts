/** Exit codes of the process. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The command failed. */
  failed: 1,
  /** The command, an option or a value is invalid. */
  usage: 2,
  /** The settings are invalid. */
  settings: 3,
  /** A patch was rejected as stale, invalid or conflicting. */
  refused: 4,
  /** It is unknown whether a patch was accepted. */
  unknown: 5,
} as const;

/** Name of an exit code. */
export type ExitCodeName = keyof typeof EXIT_CODES;

/** An error that ends the command with a message and an exit code. */
export class CommandError extends Error {
  readonly exitCodeName: ExitCodeName;

  constructor(exitCodeName: ExitCodeName, message: string) {
    super(message);
    this.exitCodeName = exitCodeName;
  }
}
