import type { Dispatcher } from "undici";

/** Records whether any part of a request may have been sent. */
export interface SendState {
  /** The client has started to write the request. */
  writeStarted: boolean;
}

/**
 * Creates an interceptor that records in `state` when writing starts. The
 * client calls `onRequestStart` right before the first byte, so a request that
 * fails while `writeStarted` is false was never sent. A second start is an
 * automatic retry by the HTTP client and is aborted.
 */
export function trackSend(
  state: SendState,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        if (state.writeStarted) {
          controller.abort(new Error("request would be sent twice"));
          return;
        }
        state.writeStarted = true;
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
