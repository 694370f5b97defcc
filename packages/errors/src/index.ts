/** Error kinds, the response for each kind and the error body. */
export { type ErrorBody, errorBody, RUN_STATE_HEADER } from "./error_body.ts";
export {
  ERROR_KINDS,
  ERROR_RESPONSES,
  type ErrorKind,
  type ErrorResponse,
  type RunState,
} from "./error_kinds.ts";
export { errorsReference } from "./errors_reference.ts";
export {
  hasErrorKind,
  RouterError,
  type RouterErrorOptions,
  toRouterError,
} from "./router_error.ts";
