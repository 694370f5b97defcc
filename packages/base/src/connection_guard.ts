import type { Socket } from "node:net";
import type { Dispatcher } from "undici";

/** Replaces the code of a reset: undici takes `ECONNRESET` for the end of a
 * response that has neither a length nor chunks. */
const RESET_CODE = "CONNECTION_RESET";

/**
 * Fails responses whose connection was reset or closed before their end, and only
 * them: undici takes either for the end of a response that has neither a length nor
 * chunks, and fails an assertion in a listener of the socket, which ends the
 * process, if such a response is paused. Guards the connections of one undici
 * client, which has one at a time and sends no request before the last is answered.
 */
export class ConnectionGuard {
  #socketError: Error | undefined;
  /** Of the last request. */
  #controller: Dispatcher.DispatchController | undefined;

  /** Watches a new connection; called before undici adds its listeners. */
  watch(socket: Socket): void {
    this.#socketError = undefined;
    let hasEnded = false;
    socket.on("error", (err: NodeJS.ErrnoException) => {
      hasEnded = true;
      this.#socketError = err;
      if (err.code === "ECONNRESET") {
        err.code = RESET_CODE;
      }
    });
    socket.on("end", () => {
      hasEnded = true;
      // Node.js reports a reset directly after data as an orderly end. Only
      // after a reset has the socket lost its remote address.
      if (socket.remoteAddress === undefined) {
        this.#socketError = new Error("connection reset by the server");
      }
      // All bytes were read, so a paused response has nothing to hold back.
      this.#controller?.resume();
    });
    socket.on("close", () => {
      if (!hasEnded) {
        socket.emit("error", new Error("the connection was closed"));
      }
    });
  }

  /** Creates the interceptor that fails the responses. */
  interceptor(): Dispatcher.DispatcherComposeInterceptor {
    return (dispatch) => (options, handler) => {
      let isCloseDelimited = false;
      return dispatch(options, {
        onRequestStart: (controller, context) => {
          this.#controller = controller;
          handler.onRequestStart?.(controller, context);
        },
        onRequestUpgrade: (controller, status, headers, socket) =>
          handler.onRequestUpgrade?.(controller, status, headers, socket),
        onResponseStart: (controller, status, headers, message) => {
          isCloseDelimited = headers["content-length"] === undefined &&
            headers["transfer-encoding"] === undefined;
          handler.onResponseStart?.(controller, status, headers, message);
        },
        onResponseData: (controller, chunk) => {
          // undici reports no bytes when a response without a length resumes,
          // and the handler may not pause it once more after its last byte.
          if (chunk.length > 0) {
            handler.onResponseData?.(controller, chunk);
          }
        },
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
