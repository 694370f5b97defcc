import type { Socket } from "node:net";
import type { Dispatcher } from "undici";

/**
 * Fails responses that end with a reset of their connection. undici takes a
 * reset for the end of a response that has neither a length nor chunks. Watches
 * the connections of one undici client, which has one at a time.
 */
export class ResetDetector {
  #socketError: Error | undefined;

  /** Watches a new connection; called before undici adds its listeners. */
  watch(socket: Socket): void {
    this.#socketError = undefined;
    socket.on("error", (err) => {
      this.#socketError = err;
    });
    socket.on("end", () => {
      // Node.js reports a reset directly after data as an orderly end. Only
      // after a reset has the socket lost its remote address.
      if (socket.remoteAddress === undefined) {
        this.#socketError = new Error("connection reset by the endpoint");
      }
    });
  }

  /** Creates the interceptor that fails the responses. */
  interceptor(): Dispatcher.DispatcherComposeInterceptor {
    return (dispatch) => (options, handler) => {
      let isCloseDelimited = false;
      return dispatch(options, {
        onRequestStart: (controller, context) =>
          handler.onRequestStart?.(controller, context),
        onRequestUpgrade: (controller, status, headers, socket) =>
          handler.onRequestUpgrade?.(controller, status, headers, socket),
        onResponseStart: (controller, status, headers, message) => {
          isCloseDelimited = headers["content-length"] === undefined &&
            headers["transfer-encoding"] === undefined;
          handler.onResponseStart?.(controller, status, headers, message);
        },
        onResponseData: (controller, chunk) =>
          handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
          if (isCloseDelimited && this.#socketError !== undefined) {
            handler.onResponseError?.(controller, this.#socketError);
          } else {
            handler.onResponseEnd?.(controller, trailers);
          }
        },
        onResponseError: (controller, err) =>
          handler.onResponseError?.(controller, err),
      });
    };
  }
}
