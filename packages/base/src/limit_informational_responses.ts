import type { Dispatcher } from "undici";

/** Responses with a status below 200 that a server may send before the actual
 * one. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/**
 * Creates an interceptor that fails a request whose server sends informational
 * responses without end. They are no progress, but would occupy this process
 * until the request times out.
 */
export function limitInformationalResponses(): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    let received = 0;
    return dispatch(options, {
      onRequestStart: (controller, context) =>
        handler.onRequestStart?.(controller, context),
      onRequestUpgrade: (controller, status, headers, socket) =>
        handler.onRequestUpgrade?.(controller, status, headers, socket),
      onResponseStart: (controller, status, headers, message) => {
        received += status < 200 ? 1 : 0;
        if (received > MAX_INFORMATIONAL_RESPONSES) {
          controller.abort(new Error("too many informational responses"));
          return;
        }
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData: (controller, chunk) =>
        handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) =>
        handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, err) =>
        handler.onResponseError?.(controller, err),
    });
  };
}
