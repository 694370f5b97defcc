import type { Clock } from "@limpetshed/base";
import {
  type ChangeBatch,
  ChangeSource,
  NO_POSITION,
  type Snapshot,
  type StorePosition,
} from "@limpetshed/mirror";
import { decodeUpdate } from "./decode_update.ts";
import { PeerClient } from "./peer_client.ts";
import { CHANGES_PATH, STATE_AGE_HEADER } from "./peer_server.ts";

/** Options of {@linkcode PeerChangeSource}. */
export interface PeerChangeSourceOptions {
  clock: Clock;
  /** Returns the `ip:port` of the peer to call next; undefined if there is
   * none. */
  selectPeer: () => string | undefined;
}

/** Reads shared state from another node. */
export class PeerChangeSource extends ChangeSource {
  readonly name = "peers";
  readonly #clock: Clock;
  readonly #selectPeer: PeerChangeSourceOptions["selectPeer"];
  readonly #client: PeerClient;
  #address: string | undefined;

  constructor({ clock, selectPeer }: PeerChangeSourceOptions) {
    super();
    this.#clock = clock;
    this.#selectPeer = selectPeer;
    this.#client = new PeerClient({ clock });
  }

  /** `ip:port` of the node called last; undefined before the first call. */
  get address(): string | undefined {
    return this.#address;
  }

  /** Closes the connection to the node called last. */
  close(): void {
    this.#client.close();
  }

  readAll(options: { signal: AbortSignal }): Promise<Snapshot | ChangeBatch> {
    return this.waitForChanges(NO_POSITION, options);
  }

  /** Reads only the changes: a peer retains them while this node cannot reach
   * it, or returns a snapshot if it no longer has them. */
  override resume(
    after: StorePosition,
    options: { signal: AbortSignal },
  ): Promise<Snapshot | ChangeBatch> {
    return this.waitForChanges(after, options);
  }

  async waitForChanges(
    after: StorePosition,
    { signal }: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    const address = this.#selectPeer();
    if (address === undefined) {
      throw new Error("no peer is known");
    }
    this.#address = address;
    const path = `${CHANGES_PATH}?after=${after.revision}&era=${after.era}`;
    const { value, headers, headMs } = await this.#client.getJson(address, {
      path,
      signal,
    });
    return {
      ...decodeUpdate(value, { after }),
      ageMs: decodeAge(headers[STATE_AGE_HEADER]) +
        this.#clock.monotonicMs() - headMs,
      sender: address,
    };
  }
}

/** Decodes the age of the sender's state; 0 if it is missing, as in responses of
 * earlier releases, and infinite if it is not a valid age. */
function decodeAge(header: string | string[] | undefined): number {
  const ageMs = Number(header ?? 0);
  return ageMs >= 0 ? ageMs : Number.POSITIVE_INFINITY;
}
