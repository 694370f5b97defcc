import * as http from "node:http";
import { type Clock, listenOn } from "@limpetshed/base";
import { RouterError, toRouterError } from "@limpetshed/errors";
import {
  type CallerLimits,
  type ClientAccount,
  type CurrentConfig,
  pickTarget,
  type Route,
  type RouteTable,
} from "@limpetshed/routing";
import { createApp, defineEventHandler, toNodeListener } from "h3";
import { AnswerSink } from "./answer_sink.ts";
import type { CallRelay } from "./call_relay.ts";
import { lazyFingerprint } from "./fingerprint.ts";
import { readBody } from "./read_body.ts";
import { type AbortReason, newProgress, type RelayCall } from "./relay_call.ts";
import type { RelayObserver } from "./relay_observer.ts";
import type { StopPlan } from "./stop_plan.ts";
import type { CallFacts, WireFormat } from "./wire_format.ts";

/** Options of {@linkcode FrontServer}. */
export interface FrontServerOptions {
  clock: Clock;
  config: CurrentConfig;
  format: WireFormat;
  relay: CallRelay;
  observer: RelayObserver;
  plan: StopPlan;
  /** A number in `[0, 1)` for each request, to split routes by weight. */
  fraction: () => number;
}

/** The parser's own limit; the configuration's is checked on top. */
const PARSER_HEADER_BYTES = 65_536;
/** How often the server looks for callers that are too slow with headers. */
const CHECK_INTERVAL_MS = 500;
/** Connections stay open this much longer than callers may use them. */
const IDLE_MARGIN_MS = 1_000;
/** Bounds of the time after which a node that knows no configuration yet may
 * know one; between them it is expected to take as long again as it took. */
const MIN_NOT_READY_RETRY_MS = 300;
const MAX_NOT_READY_RETRY_MS = 2_000;
/** Other nodes can take the request at once. */
const STOPPING_RETRY_MS = 20;

/** The HTTP server that callers reach. */
export class FrontServer {
  readonly #options: FrontServerOptions;
  readonly #server: http.Server;
  readonly #inFlight = new Set<RelayCall>();
  readonly #startedMs: number;

  constructor(options: FrontServerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
    const app = createApp();
    app.use(defineEventHandler(async ({ node }) => {
      await this.#serve(node.req, node.res);
    }));
    this.#server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    }, toNodeListener(app));
    options.config.onChange((table) => this.#applyLimits(table.limits));
  }

  /** Calls that are not answered yet. */
  get inFlight(): number {
    return this.#inFlight.size;
  }

  /** Starts listening on `ip:port`; returns the actual address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Accepts no more connections and closes those without a call. */
  closeIdle(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Breaks every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs + IDLE_MARGIN_MS;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
  }

  async #serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const sink = new AnswerSink({
      res,
      isStopping: () => this.#options.plan.isStopping,
    });
    const facts = this.#options.format.readCall(req.headers);
    try {
      await this.#take(req, { res, sink, facts });
    } catch (thrown) {
      const err = toRouterError(thrown);
      const requestId = facts.requestId;
      if (err.kind !== "caller_cancelled") {
        sink.refuse(err, { requestId, closes: !req.complete });
      }
    }
  }

  async #take(
    req: http.IncomingMessage,
    { res, sink, facts }: {
      res: http.ServerResponse;
      sink: AnswerSink;
      facts: CallFacts;
    },
  ): Promise<void> {
    const { clock, observer } = this.#options;
    const arrivedMs = clock.monotonicMs();
    const stop = new AbortController();
    const abort = (reason: AbortReason) => stop.abort(reason);
    const onClose = () => {
      if (!res.writableFinished) {
        abort("caller_gone");
      }
    };
    res.once("close", onClose);
    let call: RelayCall | undefined;
    try {
      const { signal } = stop;
      call = await this.#admit(req, { facts, arrivedMs, signal });
      await this.#relay(call, { sink, abort });
      observer.answered(call, clock.monotonicMs() - arrivedMs);
    } catch (thrown) {
      const err = toRouterError(thrown);
      const { requestId } = facts;
      observer.failed(err, { call, requestId, brokenOff: sink.isStarted });
      throw err;
    } finally {
      res.off("close", onClose);
    }
  }

  /** Reads a request that the configuration and this node allow. */
  async #admit(
    req: http.IncomingMessage,
    { facts, arrivedMs, signal }: {
      facts: CallFacts;
      arrivedMs: number;
      signal: AbortSignal;
    },
  ): Promise<RelayCall> {
    const { config, plan, fraction } = this.#options;
    const { table } = config;
    if (table === undefined) {
      throw notReady(arrivedMs - this.#startedMs);
    }
    checkHeaderSize(req, table.limits);
    const route = findRoute(req, table);
    const account = findAccount(facts, { route, table });
    if (!plan.takes(route)) {
      throw stopping();
    }
    const body = await readBody(req, { maxBytes: table.limits.maxBodyBytes });
    return {
      requestId: facts.requestId ?? "",
      method: req.method ?? "GET",
      path: req.url ?? "/",
      rawHeaders: req.rawHeaders,
      connectionHeader: req.headers.connection,
      body,
      route,
      service: pickTarget(route.targets, fraction()) ?? "",
      configVersion: table.version,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      prompt: facts.prompt,
      fingerprint: lazyFingerprint({
        account: account?.name,
        path: req.url ?? "/",
        body,
      }),
      arrivedMs,
      endsMs: arrivedMs +
        Math.min(route.timeoutMs, facts.patienceMs ?? route.timeoutMs),
      ...newProgress(),
      signal,
    };
  }

  async #relay(
    call: RelayCall,
    { sink, abort }: {
      sink: AnswerSink;
      abort: (reason: AbortReason) => void;
    },
  ): Promise<void> {
    const { clock, relay } = this.#options;
    const timer = clock.setTimer(
      Math.max(0, call.endsMs - clock.monotonicMs()),
      () => abort("time_over"),
    );
    this.#inFlight.add(call);
    try {
      await relay.run(call, sink);
    } finally {
      timer.cancel();
      this.#inFlight.delete(call);
    }
  }
}

function notReady(sinceStartMs: number): RouterError {
  return new RouterError("node_not_ready", "no configuration is known yet", {
    retryAfterMs: Math.min(
      MAX_NOT_READY_RETRY_MS,
      Math.max(MIN_NOT_READY_RETRY_MS, sinceStartMs),
    ),
  });
}

function stopping(): RouterError {
  return new RouterError("node_not_ready", "this node is stopping", {
    retryAfterMs: STOPPING_RETRY_MS,
  });
}

function checkHeaderSize(
  req: http.IncomingMessage,
  { maxHeaderBytes }: CallerLimits,
): void {
  const bytes = req.rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
  if (bytes > maxHeaderBytes) {
    throw new RouterError(
      "headers_too_large",
      `the headers are larger than ${maxHeaderBytes} bytes`,
    );
  }
}

function findRoute(req: http.IncomingMessage, table: RouteTable): Route {
  const url = req.url ?? "/";
  const end = url.indexOf("?");
  const path = end < 0 ? url : url.slice(0, end);
  const route = table.find(req.headers.host ?? "", path);
  if (route === undefined) {
    throw new RouterError("not_found", "no route for this host and path");
  }
  return route;
}

function findAccount(
  { key }: CallFacts,
  { route, table }: { route: Route; table: RouteTable },
): ClientAccount | undefined {
  if (!table.requiresKeys) {
    return undefined;
  }
  const account = key === undefined ? undefined : table.account(key);
  if (account === undefined && !route.isPublic) {
    throw new RouterError("unauthenticated", "the key is missing or unknown");
  }
  return account;
}
