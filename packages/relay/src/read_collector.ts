import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes read between two collections. */
const INTERVAL_BYTES = 8_388_608;

/**
 * Frees the buffers that bodies were read into, under many large bodies at once.
 * The garbage collector sees only the small objects that own the buffers, and would
 * let tens of megabytes pile up before it runs.
 */
export class ReadCollector {
  #collect: ((options: { type: "minor" }) => void) | undefined;
  #bytes = 0;

  /** Records bytes that were read from a client and copied or dropped. */
  add(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes >= INTERVAL_BYTES) {
      this.#bytes = 0;
      this.#collect ??= makeCollector();
      this.#collect({ type: "minor" });
    }
  }
}

function makeCollector(): (options: { type: "minor" }) => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as (options: { type: "minor" }) => void;
}
