import { type Clock, withTimeout } from "@limpetshed/base";
import {
  type ChangeBatch,
  ChangeSource,
  type Snapshot,
} from "@limpetshed/mirror";
import { Client } from "undici";
import { CHANGES_PATH, CHANGES_WAIT_MS } from "./peer_server.ts";

/** Options of {@linkcode PeerChangeSource}. */
export interface PeerChangeSourceOptions {
  clock: Clock;
  /** Address of the node to ask now, `ip:port`. */
  choose: () => string | undefined;
}

/** Longest time for an answer beside the waiting; many round trips. */
const CALL_TIMEOUT_MS = CHANGES_WAIT_MS + 300;

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
    const client = new Client(`http://${address}`);
    try {
      return await withTimeout(
        this.#options.clock,
        ask(client, { revision, signal }),
        {
          ms: CALL_TIMEOUT_MS,
          onTimeout: () => new Error(`no answer from ${address} in time`),
        },
      );
    } finally {
      client.destroy().catch(() => undefined);
    }
  }
}

async function ask(
  client: Client,
  { revision, signal }: { revision: number; signal: AbortSignal },
): Promise<ChangeBatch | Snapshot> {
  const { statusCode, body } = await client.request({
    method: "GET",
    path: `${CHANGES_PATH}?after=${revision}`,
    signal,
  });
  const text = await body.text();
  if (statusCode !== 200) {
    throw new Error(`the node answered with status ${statusCode}`);
  }
  return JSON.parse(text) as ChangeBatch | Snapshot;
}
