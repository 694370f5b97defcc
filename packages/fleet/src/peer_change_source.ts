import type { Clock } from "@limpetshed/base";
import {
  type ChangeBatch,
  ChangeSource,
  type Snapshot,
} from "@limpetshed/mirror";
import { askPeer } from "./ask_peer.ts";
import { CHANGES_PATH } from "./peer_server.ts";

/** Options of {@linkcode PeerChangeSource}. */
export interface PeerChangeSourceOptions {
  clock: Clock;
  /** Address of the node to ask now, `ip:port`. */
  choose: () => string | undefined;
}

/** Shared state as another node knows it. */
export class PeerChangeSource extends ChangeSource {
  readonly name = "peers";
  readonly #options: PeerChangeSourceOptions;

  constructor(options: PeerChangeSourceOptions) {
    super();
    this.#options = options;
  }

  readAll(options: { signal: AbortSignal }): Promise<Snapshot | ChangeBatch> {
    return this.next(0, options);
  }

  async next(
    revision: number,
    { signal }: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    const address = this.#options.choose();
    if (address === undefined) {
      throw new Error("no other node is known");
    }
    const path = `${CHANGES_PATH}?after=${revision}`;
    const update = await askPeer(address, {
      path,
      clock: this.#options.clock,
      signal,
    });
    return update as ChangeBatch | Snapshot;
  }
}
