/** The closed list of error kinds and the table from kind to answer. */
export { type ErrorBody, errorBody, RUN_STATE_HEADER } from "./error_body.ts";
export {
  ERROR_ANSWERS,
  ERROR_KINDS,
  type ErrorAnswer,
  type ErrorKind,
  type RunState,
} from "./error_kinds.ts";
export { errorsReference } from "./errors_reference.ts";
export {
  isKind,
  RouterError,
  type RouterErrorOptions,
  toRouterError,
} from "./router_error.ts";
