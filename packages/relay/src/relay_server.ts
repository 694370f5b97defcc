import * as http from "node:http";
import { type Clock, listenOn } from "@limpetshed/base";
import { promptTraits } from "@limpetshed/dispatch";
import { toRouterError } from "@limpetshed/errors";
import {
  type CurrentConfig,
  pickTarget,
  type RequestLimits,
} from "@limpetshed/routing";
import { createApp, defineEventHandler, toNodeListener } from "h3";
import {
  checkHeaderSize,
  findAccount,
  findRoute,
  notReadyError,
  parseResumption,
} from "./accept_request.ts";
import type { ClientResources } from "./client_resources.ts";
import { ConnectionClosures } from "./connection_closures.ts";
import { stoppingError } from "./forward_errors.ts";
import type { GracefulShutdown } from "./graceful_shutdown.ts";
import { lazyFingerprint } from "./lazy_fingerprint.ts";
import type { MemoryClaim } from "./memory_budget.ts";
import { readBody } from "./read_body.ts";
import { refuseUnread } from "./refuse_unread.ts";
import type { RelayObserver } from "./relay_observer.ts";
import {
  type AbortReason,
  initialProgress,
  type RelayRequest,
} from "./relay_request.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import { ResponseWriter } from "./response_writer.ts";
import type { StreamOriginResolver } from "./stream_origin_resolver.ts";
import type { RequestMetadata, WireFormat } from "./wire_format.ts";

/** Options of {@linkcode RelayServer}. */
export interface RelayServerOptions {
  clock: Clock;
  config: CurrentConfig;
  format: WireFormat;
  forwarder: RequestForwarder;
  observer: RelayObserver;
  shutdown: GracefulShutdown;
  originResolver: StreamOriginResolver;
  resources: ClientResources;
  /** Returns a number in `[0, 1)`, drawn once per request to pick a weighted
   * target. */
  random: () => number;
}

/** Hard limit of the HTTP parser; the configured limit is checked afterwards. */
export const MAX_PARSER_HEADER_BYTES = 65_536;
/** Interval at which connections are checked for a header timeout. */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Added to the configured timeouts, so that the server does not close a
 * connection that a client is still allowed to use. */
const TIMEOUT_MARGIN_MS = 1_000;
/** HTTP server that authenticates and routes client requests and hands them to
 * the forwarder. */
export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #server: http.Server;
  readonly #inFlight = new Set<RelayRequest>();
  readonly #writers = new Set<ResponseWriter>();
  /** Aborts of the requests that are not answered yet. */
  readonly #aborts = new Set<(reason: AbortReason) => void>();
  readonly #closures = new ConnectionClosures();
  readonly #startedMs: number;

  constructor(options: RelayServerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
    const app = createApp();
    app.use(defineEventHandler(async ({ node }) => {
      await this.#respond(node.req, node.res);
    }));
    this.#server = http.createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    }, toNodeListener(app));
    this.#server.on(
      "connection",
      (socket) => options.resources.connections.add(socket),
    );
    options.config.onChange((table) => this.#applyLimits(table.limits));
  }

  /** Number of requests being forwarded. */
  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** Number of requests that are read, forwarded or answered. */
  get pendingCount(): number {
    return this.#writers.size;
  }

  /** Starts listening on `ip:port`; returns the actual address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Stops accepting connections and closes idle ones. */
  closeIdle(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Ends the requests in flight: those whose responses have not begun are
   * answered with errors. */
  abortRequests(): void {
    [...this.#aborts].forEach((abort) => abort("node_stopping"));
  }

  /** Closes the server and destroys all connections. */
  close(): void {
    this.#server.close();
    this.#writers.forEach((writer) => writer.abort());
    this.#server.closeAllConnections();
  }

  #applyLimits({ headerTimeoutMs, idleTimeoutMs }: RequestLimits): void {
    this.#server.headersTimeout = headerTimeoutMs + TIMEOUT_MARGIN_MS;
    this.#server.keepAliveTimeout = idleTimeoutMs + TIMEOUT_MARGIN_MS;
  }

  /** Processes a request; responds with an error if that fails. */
  async #respond(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const writer = new ResponseWriter({
      res,
      isStopping: () => this.#options.shutdown.isStopping,
      memory: this.#options.resources.memory,
    });
    const metadata = this.#options.format.parseRequest(req.headers);
    this.#writers.add(writer);
    res.once("close", () => this.#writers.delete(writer));
    try {
      await this.#processAndObserve(req, { res, writer, metadata });
    } catch (thrown) {
      const err = toRouterError(thrown);
      const requestId = metadata.requestId;
      if (err.kind === "caller_cancelled") {
        return;
      }
      if (req.complete) {
        writer.sendError(err, { requestId });
      } else {
        refuseUnread(err, {
          clock: this.#options.clock,
          closures: this.#closures,
          req,
          res,
          writer,
          requestId,
        });
      }
    }
  }

  /** Accepts and forwards a request, and reports its outcome to the observer. */
  async #processAndObserve(
    req: http.IncomingMessage,
    { res, writer, metadata }: {
      res: http.ServerResponse;
      writer: ResponseWriter;
      metadata: RequestMetadata;
    },
  ): Promise<void> {
    const { clock, observer, resources } = this.#options;
    const arrivedMs = clock.monotonicMs();
    const controller = new AbortController();
    const abort = (reason: AbortReason) => controller.abort(reason);
    const onClose = () => {
      if (!res.writableFinished) {
        abort("caller_gone");
      }
    };
    const forgetClosure = this.#closures.add(req.socket, onClose);
    this.#aborts.add(abort);
    const claim = resources.memory.open();
    let endUse = () => {};
    let request: RelayRequest | undefined;
    try {
      const { signal } = controller;
      request = await this.#acceptRequest(req, {
        metadata,
        arrivedMs,
        signal,
        claim,
      });
      endUse = resources.connections.begin(req.socket);
      await this.#forward(request, { writer, abort });
      observer.responseCompleted(request, clock.monotonicMs() - arrivedMs);
    } catch (thrown) {
      const err = toRouterError(thrown);
      const { requestId } = metadata;
      observer.requestFailed(err, {
        request,
        requestId,
        brokenOff: writer.isHeadSent,
      });
      throw err;
    } finally {
      forgetClosure();
      claim.close();
      void writer.closed().then(endUse);
      this.#aborts.delete(abort);
    }
  }

  /** Checks a request against the configuration and the shutdown state, and
   * reads its body. */
  async #acceptRequest(
    req: http.IncomingMessage,
    { metadata, arrivedMs, signal, claim }: {
      metadata: RequestMetadata;
      arrivedMs: number;
      signal: AbortSignal;
      claim: MemoryClaim;
    },
  ): Promise<RelayRequest> {
    const { clock, config, resources, shutdown, random } = this.#options;
    const { table } = config;
    if (table === undefined) {
      throw notReadyError(arrivedMs - this.#startedMs);
    }
    checkHeaderSize(req, table.limits);
    const route = findRoute(req, table);
    const account = findAccount(metadata, { route, table });
    if (!shutdown.accepts(route)) {
      throw stoppingError();
    }
    const body = await readBody(req, {
      clock,
      maxBytes: table.limits.maxBodyBytes,
      stallMs: table.limits.idleTimeoutMs + TIMEOUT_MARGIN_MS,
      resources,
      claim,
    });
    const resumption = parseResumption(metadata, route);
    const origin = resumption === undefined
      ? undefined
      : await this.#options.originResolver.resolve({
        requestId: metadata.requestId,
        account: account?.name,
        resumption,
        services: route.targets.map((target) => target.service),
        arrivedMs,
        signal,
      });
    if (signal.aborted || !shutdown.accepts(route)) {
      throw stoppingError();
    }
    const service = origin?.service ?? pickTarget(route.targets, random()) ??
      "";
    return {
      requestId: metadata.requestId ?? "",
      method: req.method ?? "GET",
      path: req.url ?? "/",
      rawHeaders: req.rawHeaders,
      connectionHeader: req.headers.connection,
      body,
      route,
      service,
      configVersion: table.version,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      prompt: metadata.prompt,
      promptTraits: promptTraits(service, metadata.prompt),
      resumption,
      fingerprint: lazyFingerprint({
        account: account?.name,
        path: req.url ?? "/",
        body,
      }),
      arrivedMs,
      deadlineMs: arrivedMs +
        Math.min(route.timeoutMs, metadata.clientTimeoutMs ?? route.timeoutMs),
      ...initialProgress(),
      version: origin?.version,
      signal,
    };
  }

  async #forward(
    request: RelayRequest,
    { writer, abort }: {
      writer: ResponseWriter;
      abort: (reason: AbortReason) => void;
    },
  ): Promise<void> {
    const { clock, forwarder } = this.#options;
    const timer = clock.setTimer(
      Math.max(0, request.deadlineMs - clock.monotonicMs()),
      () => abort("time_over"),
    );
    this.#inFlight.add(request);
    try {
      await forwarder.forward(request, writer);
    } finally {
      timer.cancel();
      void writer.closed().then(() => this.#inFlight.delete(request));
    }
  }
}
