import {
  type ErrorKind,
  RouterError,
  type RouterErrorOptions,
} from "@limpetshed/errors";

/** Error of a failed request to an endpoint. */
export class EndpointError extends RouterError {
  /** The response was lost after the request was sent. */
  readonly connectionLost: boolean;

  constructor(
    kind: ErrorKind,
    message: string,
    options: RouterErrorOptions & { connectionLost?: boolean } = {},
  ) {
    super(kind, message, options);
    this.connectionLost = options.connectionLost ?? false;
  }
}
