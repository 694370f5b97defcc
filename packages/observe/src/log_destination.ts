import { pino } from "pino";

/** Standard output for logs: never blocks, and bounded. */
export interface LogDestination {
  write(line: string): void;
  /** Writes what is buffered at once; for the end of a process. */
  flush(): void;
  /** Lines dropped since the start because nobody read them. */
  readonly droppedLines: number;
}

/** Bytes kept for a reader that does not keep up. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Lines are written together to save system calls. */
const MIN_WRITE_BYTES = 4_096;
/** Longest time that a line waits for others. */
const FLUSH_MS = 500;

/** Opens standard output for logs. */
export function openLogDestination(): LogDestination {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_MS,
  });
  let droppedLines = 0;
  stream.on("drop", () => {
    droppedLines += 1;
  });
  // A reader that went away must not end the process.
  stream.on("error", () => {
    droppedLines += 1;
  });
  return {
    write: (line) => stream.write(line),
    flush: () => {
      try {
        stream.flushSync();
      } catch {
        // Nobody reads; there is nowhere to say so.
      }
    },
    get droppedLines() {
      return droppedLines;
    },
  };
}
