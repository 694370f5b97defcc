import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { VmList } from "@limpetshed/vm_list";
import type { EndpointDirectory } from "./endpoint_directory.ts";
import type { Membership } from "./membership.ts";

/** Options of {@linkcode VmListPoller}. */
export interface VmListPollerOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  vmList: VmList;
  membership: Membership;
  directory: EndpointDirectory;
  /** Polling interval in milliseconds. */
  intervalMs?: number;
}

/** Polls the vm list for changes and applies them. */
export class VmListPoller {
  readonly #options: VmListPollerOptions;
  #sequence = 0;
  #pollLoop: RepeatingTask | undefined;

  constructor(options: VmListPollerOptions) {
    this.#options = options;
  }

  /** Fetches and applies the changes since the last poll. */
  async poll(): Promise<void> {
    const { vmList, membership, directory } = this.#options;
    const changes = await vmList.changes(this.#sequence);
    this.#sequence = changes.sequence;
    membership.applyVmList(changes);
    directory.applyVmList(changes);
  }

  /** Starts polling; a failed poll leaves the known state unchanged. */
  start(): void {
    const { clock, rng, logger, intervalMs = 1_000 } = this.#options;
    this.#pollLoop = repeat(clock, () => this.poll(), {
      intervalMs,
      jitter: () => rng.jitter(),
      onError: (err) => logger.warn({ err }, "failed to poll the vm list"),
    });
  }

  /** Stops polling. */
  async close(): Promise<void> {
    await this.#pollLoop?.close();
  }
}
