import { type Clock, repeat, type Repeating } from "@limpetshed/base";
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
  /** Milliseconds between two reads. */
  intervalMs?: number;
}

/** Reads what changed in the vm list and passes it on. */
export class VmListPoller {
  readonly #options: VmListPollerOptions;
  #sequence = 0;
  #polling: Repeating | undefined;

  constructor(options: VmListPollerOptions) {
    this.#options = options;
  }

  /** Reads the list once. */
  async poll(): Promise<void> {
    const { vmList, membership, directory } = this.#options;
    const changes = await vmList.changes(this.#sequence);
    this.#sequence = changes.sequence;
    membership.applyVmList(changes);
    directory.applyVmList(changes);
  }

  /** Reads the list again and again; a failed read keeps what is known. */
  start(): void {
    const { clock, rng, logger, intervalMs = 1_000 } = this.#options;
    this.#polling = repeat(clock, () => this.poll(), {
      everyMs: intervalMs,
      jitter: () => rng.jitter(),
      onError: (err) => logger.warn({ err }, "vm list not read"),
    });
  }

  /** Stops reading. */
  async close(): Promise<void> {
    await this.#polling?.close();
  }
}
