import { RouterError } from "@limpetshed/errors";
import {
  type FrameBody,
  isRequestName,
  type MessageOf,
  type RequestName,
  RESPONSE_NAMES,
  type ResponseOf,
} from "./messages.ts";

/** Handles one type of request from a peer. */
export type PeerHandler<K extends RequestName> = (
  req: MessageOf<K>,
) => Promise<ResponseOf<K>> | ResponseOf<K>;

type AnyHandler = (req: unknown) => Promise<unknown>;

/** Registry of a node's request handlers, by request name. */
export class PeerHandlers {
  readonly #handlers = new Map<RequestName, AnyHandler>();

  /** Registers the handler of a request name; replaces an earlier one. */
  on<K extends RequestName>(name: K, handler: PeerHandler<K>): void {
    this.#handlers.set(
      name,
      async (req) => await handler(req as MessageOf<K>),
    );
  }

  /**
   * Dispatches a request to its handler and returns the response.
   *
   * @throws RouterError `invalid_request` if the message is not a request or
   *   has no handler on this node.
   */
  async answer(body: FrameBody): Promise<FrameBody> {
    const handler = isRequestName(body.case)
      ? this.#handlers.get(body.case)
      : undefined;
    if (handler === undefined || !isRequestName(body.case)) {
      throw new RouterError("invalid_request", "unknown peer message");
    }
    const value = await handler(body.value);
    return { case: RESPONSE_NAMES[body.case], value } as FrameBody;
  }
}
