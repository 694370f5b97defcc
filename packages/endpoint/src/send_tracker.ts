import type { Dispatcher } from "undici";

/** Tells whether a request may have reached the wire. */
export interface SendState {
  /** The client began to write the request. */
  started: boolean;
}

/**
 * Makes an interceptor that records in `state` when writing begins. The
 * client calls `onRequestStart` right before the first byte, so a request
 * that failed with `started` false was never sent. A second start, which
 * would be the client's own second attempt, is stopped.
 */
export function trackSend(
  state: SendState,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        if (state.started) {
          controller.abort(new Error("request would be sent twice"));
          return;
        }
        state.started = true;
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (controller, status, headers, socket) =>
        handler.onRequestUpgrade?.(controller, status, headers, socket),
      onResponseStart: (controller, status, headers, message) =>
        handler.onResponseStart?.(controller, status, headers, message),
      onResponseData: (controller, chunk) =>
        handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) =>
        handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, err) =>
        handler.onResponseError?.(controller, err),
    });
}
