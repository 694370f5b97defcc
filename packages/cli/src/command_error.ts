/** Exit codes of the command line. */
export const EXIT_CODES = {
  /** Done. */
  ok: 0,
  /** The work failed. */
  failed: 1,
  /** A wrong command, option or value. */
  usage: 2,
  /** The settings are not valid. */
  settings: 3,
  /** A patch was refused: stale, not valid or in conflict. */
  refused: 4,
  /** Whether a patch was accepted cannot be told. */
  unknown: 5,
} as const;

/** Name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;

/** An error that ends the command with a message and an exit code. */
export class CommandError extends Error {
  readonly exit: ExitName;

  constructor(exit: ExitName, message: string) {
    super(message);
    this.exit = exit;
  }
}
