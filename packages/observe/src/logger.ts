import { type DestinationStream, type Logger, pino } from "pino";

export type { Logger };

/** Log levels, least severe first. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Options of {@linkcode makeLogger}. */
export interface LoggerOptions {
  level?: LogLevel;
  /** Fields added to every line. */
  fields?: Record<string, string>;
  /** Output stream; stdout by default. */
  destination?: DestinationStream;
}

const REDACTED_PATHS = [
  "authorization",
  "key",
  "secret",
  "password",
  "headers.authorization",
  "req.headers.authorization",
];

/** Creates a logger that writes JSON lines and redacts secrets. */
export function makeLogger({
  level = "info",
  fields = {},
  destination,
}: LoggerOptions = {}): Logger {
  const options = {
    level,
    base: fields,
    redact: { paths: REDACTED_PATHS, censor: "[removed]" },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label: string) => ({ level: label }) },
  };
  return destination === undefined ? pino(options) : pino(options, destination);
}
