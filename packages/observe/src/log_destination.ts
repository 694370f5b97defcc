import { pino } from "pino";

/** Non-blocking log output to stdout with a bounded buffer. */
export interface LogDestination {
  write(line: string): void;
  /** Flushes the buffer synchronously; called before the process exits. */
  flush(): void;
  /** Lines dropped since process start: buffer full or write error. */
  readonly droppedLines: number;
}

/** Buffer limit while the reader of stdout is too slow. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Lines are written in batches of this size to save system calls. */
const MIN_WRITE_BYTES = 4_096;
/** Maximum time that a line stays in an incomplete batch. */
const FLUSH_INTERVAL_MS = 500;

/** Opens stdout as a log destination. */
export function openLogDestination(): LogDestination {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  let droppedLines = 0;
  stream.on("drop", () => {
    droppedLines += 1;
  });
  // A closed pipe (EPIPE) must not terminate the process.
  stream.on("error", () => {
    droppedLines += 1;
  });
  return {
    write: (line) => stream.write(line),
    flush: () => {
      try {
        stream.flushSync();
      } catch {
        // The reader has closed the pipe, so the failure cannot be logged.
      }
    },
    get droppedLines() {
      return droppedLines;
    },
  };
}
