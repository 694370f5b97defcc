import {
  type ErrorKind,
  RouterError,
  type RouterErrorOptions,
} from "@limpetshed/errors";

/** A failed call to an endpoint. */
export class EndpointError extends RouterError {
  /** The connection broke after the request was sent. */
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
