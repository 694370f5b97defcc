import { RouterError } from "@limpetshed/errors";
import {
  type FrameBody,
  type MessageOf,
  type RequestName,
  RESPONSE_NAMES,
  type ResponseOf,
} from "./messages.ts";

/** Client side of node-to-node RPC. */
export abstract class PeerTransport {
  /**
   * Sends a request to the node at `address` (`ip:port`) and waits for the
   * response.
   *
   * @throws RouterError `peer_unreachable` if no response arrives in time; the
   *   peer may still have handled the request.
   */
  async call<K extends RequestName>(
    address: string,
    name: K,
    { message, timeoutMs }: { message: MessageOf<K>; timeoutMs: number },
  ): Promise<ResponseOf<K>> {
    const body = { case: name, value: message } as FrameBody;
    const response = await this.exchange(address, body, { timeoutMs });
    if (response.case !== RESPONSE_NAMES[name]) {
      throw new RouterError("peer_unreachable", "the peer could not answer");
    }
    return response.value as ResponseOf<K>;
  }

  /** Closes all links. */
  abstract close(): Promise<void>;

  /** Sends a request frame and waits for the response frame. */
  protected abstract exchange(
    address: string,
    body: FrameBody,
    options: { timeoutMs: number },
  ): Promise<FrameBody>;
}
