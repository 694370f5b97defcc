import type { Clock } from "@limpetshed/base";
import {
  type ChangeBatch,
  ChangeSource,
  type Snapshot,
} from "@limpetshed/mirror";
import { decodeUpdate } from "./decode_update.ts";
import { PeerClient } from "./peer_client.ts";
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
  readonly #choose: PeerChangeSourceOptions["choose"];
  readonly #client: PeerClient;

  constructor({ clock, choose }: PeerChangeSourceOptions) {
    super();
    this.#choose = choose;
    this.#client = new PeerClient({ clock });
  }

  /** Closes the connection to the node asked last. */
  close(): void {
    this.#client.close();
  }

  readAll(options: { signal: AbortSignal }): Promise<Snapshot | ChangeBatch> {
    return this.waitForChanges(0, options);
  }

  /** Another node keeps its changes through outages of the store and of
   * itself, or says that it has not. */
  override resume(
    revision: number,
    options: { signal: AbortSignal },
  ): Promise<Snapshot | ChangeBatch> {
    return this.waitForChanges(revision, options);
  }

  async waitForChanges(
    revision: number,
    { signal }: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    const address = this.#choose();
    if (address === undefined) {
      throw new Error("no other node is known");
    }
    const path = `${CHANGES_PATH}?after=${revision}`;
    return decodeUpdate(await this.#client.ask(address, { path, signal }));
  }
}
