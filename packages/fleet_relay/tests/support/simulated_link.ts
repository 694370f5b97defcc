import { type Clock, sleep } from "@limpetshed/base";

/** Interval at which a transfer reports progress, milliseconds. */
const PROGRESS_INTERVAL_MS = 50;

/** A link that transfers one message after the other at a fixed speed. */
export class SimulatedLink {
  readonly #clock: Clock;
  readonly #bytesPerMs: number;
  #busyUntilMs = 0;

  constructor({ clock, bytesPerMs }: { clock: Clock; bytesPerMs: number }) {
    this.#clock = clock;
    this.#bytesPerMs = bytesPerMs;
  }

  /** Occupies the link with a message; returns the time at which its last byte
   * has passed. */
  send(bytes: number): number {
    const startMs = Math.max(this.#busyUntilMs, this.#clock.monotonicMs());
    this.#busyUntilMs = startMs + bytes / this.#bytesPerMs;
    return this.#busyUntilMs;
  }
}

/** Waits until a message has passed all links; calls `onProgress` meanwhile. */
export async function transfer(
  clock: Clock,
  links: readonly SimulatedLink[],
  { bytes, signal, onProgress }: {
    bytes: number;
    signal?: AbortSignal;
    onProgress: () => void;
  },
): Promise<void> {
  const endMs = Math.max(...links.map((link) => link.send(bytes)));
  while (clock.monotonicMs() < endMs && signal?.aborted !== true) {
    const leftMs = endMs - clock.monotonicMs();
    const waitMs = Math.min(PROGRESS_INTERVAL_MS, Math.ceil(leftMs));
    await sleep(clock, waitMs, { signal });
    onProgress();
  }
}
