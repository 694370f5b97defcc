import { buildConnector, Client, type Dispatcher } from "undici";
import { ConnectionGuard } from "./connection_guard.ts";

/** Options of {@linkcode createGuardedClient}: those of undici's client. */
export interface GuardedClientOptions extends Client.Options {
  /** Connect timeout, milliseconds. */
  connectTimeoutMs?: number;
}

/** Creates an HTTP client for one connection at a time under a
 * {@linkcode ConnectionGuard}. */
export function createGuardedClient(
  origin: string | URL,
  { connectTimeoutMs, ...options }: GuardedClientOptions = {},
): Dispatcher {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  const guard = new ConnectionGuard();
  return new Client(origin, {
    ...options,
    pipelining: 1,
    connect: (connectOptions, callback) =>
      connect(connectOptions, (...result) => {
        const [err, socket] = result;
        if (err === null) {
          guard.watch(socket);
        }
        callback(...result);
      }),
  }).compose(guard.interceptor());
}
