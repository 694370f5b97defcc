import { RouterError } from "@limpetshed/errors";
import {
  type FrameBody,
  type MessageOf,
  type RequestName,
  RESPONSE_NAMES,
  type ResponseOf,
} from "./messages.ts";

/** Sends requests to other nodes. */
export abstract class PeerTransport {
  /**
   * Sends a request to the node at `address` (`ip:port`) and waits for its
   * answer.
   *
   * @throws RouterError `peer_unreachable` when no answer came in time; the
   *   peer may have handled the request all the same.
   */
  async call<K extends RequestName>(
    address: string,
    name: K,
    { message, timeoutMs }: { message: MessageOf<K>; timeoutMs: number },
  ): Promise<ResponseOf<K>> {
    const body = { case: name, value: message } as FrameBody;
    const answer = await this.exchange(address, body, { timeoutMs });
    if (answer.case !== RESPONSE_NAMES[name]) {
      throw new RouterError("peer_unreachable", "the peer could not answer");
    }
    return answer.value as ResponseOf<K>;
  }

  /** Closes all links. */
  abstract close(): Promise<void>;

  /** Sends one frame and waits for the frame that answers it. */
  protected abstract exchange(
    address: string,
    body: FrameBody,
    options: { timeoutMs: number },
  ): Promise<FrameBody>;
}
