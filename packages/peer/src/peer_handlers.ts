import { RouterError } from "@limpetshed/errors";
import {
  type FrameBody,
  isRequestName,
  type MessageOf,
  type RequestName,
  RESPONSE_NAMES,
  type ResponseOf,
} from "./messages.ts";

/** Answers one kind of request from a peer. */
export type PeerHandler<K extends RequestName> = (
  req: MessageOf<K>,
) => Promise<ResponseOf<K>> | ResponseOf<K>;

type AnyHandler = (req: unknown) => Promise<unknown>;

/** The handlers of one node, by request name. */
export class PeerHandlers {
  readonly #handlers = new Map<RequestName, AnyHandler>();

  /** Sets the handler of one request name. */
  on<K extends RequestName>(name: K, handler: PeerHandler<K>): void {
    this.#handlers.set(
      name,
      async (req) => await handler(req as MessageOf<K>),
    );
  }

  /**
   * Answers one request.
   *
   * @throws RouterError `invalid_request` for a message that is no request or
   *   that this node does not handle.
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
