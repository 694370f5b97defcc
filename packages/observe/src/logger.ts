import { type DestinationStream, type Logger, pino } from "pino";

export type { Logger };

/** Log levels, least severe first. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Options of {@linkcode makeLogger}. */
export interface LoggerOptions {
  level?: LogLevel;
  /** Fields of every line. */
  fields?: Record<string, string>;
  /** Where lines go; standard output by default. */
  destination?: DestinationStream;
}

const SECRET_FIELDS = [
  "authorization",
  "key",
  "secret",
  "password",
  "headers.authorization",
  "req.headers.authorization",
];

/** Makes a logger that writes JSON lines and never the value of a secret. */
export function makeLogger({
  level = "info",
  fields = {},
  destination,
}: LoggerOptions = {}): Logger {
  const options = {
    level,
    base: fields,
    redact: { paths: SECRET_FIELDS, censor: "[removed]" },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label: string) => ({ level: label }) },
  };
  return destination === undefined ? pino(options) : pino(options, destination);
}
