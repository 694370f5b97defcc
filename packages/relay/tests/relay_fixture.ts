import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { LeastLoadedPolicy } from "@limpetshed/dispatch";
import { initHashing } from "@limpetshed/hashing";
import { makeLogger, RelayMetrics } from "@limpetshed/observe";
import type { Route, RouteKind } from "@limpetshed/routing";
import type { EndpointConnector } from "../src/endpoint_connector.ts";
import { RelayNode } from "../src/relay_node.ts";
import { TelemetryObserver } from "../src/telemetry_observer.ts";
import { TestWireFormat } from "./test_wire_format.ts";

/** A request as received by an endpoint. */
export interface ReceivedRequest {
  id: string;
  method: string;
  path: string;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Resolves when its connection has closed. */
  closed: Promise<void>;
}

/** Handles a request at a test endpoint. */
export type RequestHandler = (
  request: ReceivedRequest,
  res: http.ServerResponse,
  socket: net.Socket,
) => void;

/** Sends a complete, signed response. */
export const respond: RequestHandler = (request, res) => {
  res.writeHead(200, { "x-id": request.id, "x-signed": "1" });
  res.end(`answer to ${request.id}`);
};

/** Resets the connection without a response. */
export const resetConnection: RequestHandler = (_request, _res, socket) => {
  socket.resetAndDestroy();
};

/** Rejects the request and reports that it did not run. */
export const rejectAsNotRun: RequestHandler = (request, res) => {
  res.writeHead(503, { "x-id": request.id, "x-not-run": "1" });
  res.end();
};

/** An HTTP endpoint on the loopback interface that records its requests. */
export class TestEndpoint {
  readonly requests: ReceivedRequest[] = [];
  handler: RequestHandler;
  readonly #server: http.Server;

  constructor(handler: RequestHandler = respond) {
    this.handler = handler;
    this.#server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        const request: ReceivedRequest = {
          id: String(req.headers["x-id"]),
          method: req.method ?? "",
          path: req.url ?? "",
          headers: req.headers,
          body: Buffer.concat(chunks).toString(),
          closed: new Promise((resolve) => req.socket.once("close", resolve)),
        };
        this.requests.push(request);
        this.handler(request, res, req.socket);
      });
    });
  }

  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** A response as received by a client. */
export interface ReceivedResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  bytes: Buffer;
  /** Whether the response ended as a complete one. */
  isComplete: boolean;
}

/** Runs a relay node and its endpoints on the loopback interface. */
export class RelayFixture {
  readonly endpoints: TestEndpoint[] = [];
  readonly node: RelayNode;
  #address = "";

  /** Lines logged by the node. */
  readonly logLines: string[] = [];

  /** Time at which the node's view was confirmed as current last; always now by
   * default. */
  viewConfirmedMs = Number.POSITIVE_INFINITY;

  /** Confirms the node's view with the store; it cannot be by default. */
  confirmView: (afterMs: number) => Promise<boolean> = () =>
    Promise.resolve(false);

  /** What waits for the usual sources to confirm the node's view. */
  readonly confirmationWaiters = new Set<() => void>();

  constructor(
    {
      retryRatio = 1,
      retrySlack = 100,
      hedgedShare,
      connector,
      followsSources = false,
    }: {
      retryRatio?: number;
      retrySlack?: number;
      /** Share of requests that may be sent a second time. */
      hedgedShare?: number;
      /** Opens connections to endpoints. */
      connector?: EndpointConnector;
      /** Whether the node can wait for usual sources to confirm its view. */
      followsSources?: boolean;
    } = {},
  ) {
    const clock = new SystemClock();
    const logger = makeLogger({
      destination: { write: (line: string) => void this.logLines.push(line) },
    });
    this.node = new RelayNode({
      clock,
      logger,
      nodeId: "n1",
      nodeIds: () => ["n1"],
      peerTimeoutMs: () => 2_000,
      format: new TestWireFormat(),
      observer: new TelemetryObserver({
        clock,
        logger,
        metrics: new RelayMetrics(),
      }),
      view: {
        confirmedMs: () => this.viewConfirmedMs,
        confirm: (afterMs) => this.confirmView(afterMs),
        onceConfirmed: followsSources
          ? (_afterMs, fn) => {
            this.confirmationWaiters.add(fn);
            return () => this.confirmationWaiters.delete(fn);
          }
          : undefined,
      },
      directConnector: connector,
      makePolicy: ({ endpointLoads }) =>
        new LeastLoadedPolicy({ loads: endpointLoads }),
      retryLimits: {
        ratio: retryRatio,
        slack: retrySlack,
        windowMs: 10_000,
      },
      hedgedShare,
      coldLimits: { rateMultiple: 1, slack: 0 },
      readinessPath: "/ready",
      random: () => 0,
    });
  }

  /** Starts the node with one endpoint per handler. */
  async start(...handlers: RequestHandler[]): Promise<void> {
    await initHashing();
    for (const handler of handlers) {
      const endpoint = new TestEndpoint(handler);
      this.endpoints.push(endpoint);
      this.node.registry.put({
        id: `e${this.endpoints.length}`,
        service: "s",
        address: await endpoint.listen(),
        availabilityZone: "a",
        slots: 8,
        state: "ready",
        coldMs: 0,
        startedMs: 1,
      });
    }
    this.configure();
    this.#address = await this.node.listen({
      front: "127.0.0.1:0",
      ready: "127.0.0.1:0",
    });
  }

  /** Applies a configuration with one service, one client account, and a route
   * for each kind of request and for resumable streams. */
  configure(
    version = 1,
    timeoutMs = 5_000,
    {
      isPublic = false,
      accountPriority,
      maxConnections = 100,
      maxBodyBytes = 65_536,
      headerTimeoutMs = 3_000,
      idleTimeoutMs = 15_000,
    }: {
      isPublic?: boolean;
      accountPriority?: number;
      maxConnections?: number;
      maxBodyBytes?: number;
      headerTimeoutMs?: number;
      idleTimeoutMs?: number;
    } = {},
  ): void {
    const routes: [string, RouteKind, boolean][] = [
      ["safe", "safe", false],
      ["unsafe", "unsafe", false],
      ["chat", "stream", false],
      ["resume", "stream", true],
    ];
    this.node.config.applyIfNewer({
      version,
      routes: routes.map(([name, kind, resumable]): Route => ({
        name,
        host: "127.0.0.1",
        prefix: `/${name}/`,
        kind,
        resumable,
        timeoutMs,
        targetLatencyMs: undefined,
        priority: 0,
        maxAttempts: 2,
        isPublic,
        targets: [{ service: "s", weight: 1 }],
      })),
      services: [{
        name: "s",
        maxConnections,
        coldRequestsPerS: 0,
        cacheTokens: 0,
      }],
      accounts: [{ name: "acme", keys: ["k"], priority: accountPriority }],
      limits: {
        maxHeaderBytes: 4_096,
        maxBodyBytes,
        headerTimeoutMs,
        idleTimeoutMs,
      },
    });
  }

  /** Address for clients, `ip:port`. */
  get address(): string {
    return this.#address;
  }

  /** Opens a request without ending it. */
  open(
    path: string,
    { id = "r1", headers = {}, method = "POST" }: {
      id?: string;
      headers?: http.OutgoingHttpHeaders;
      method?: string;
    } = {},
  ): http.ClientRequest {
    const [host, port] = this.#address.split(":");
    return http.request({
      host,
      port,
      path,
      method,
      agent: false,
      headers: { "x-id": id, authorization: "k", ...headers },
    });
  }

  /** Sends a request and reads the response to its end. */
  send(
    path: string,
    options: {
      id?: string;
      headers?: http.OutgoingHttpHeaders;
      method?: string;
      body?: string;
    } = {},
  ): Promise<ReceivedResponse> {
    const req = this.open(path, options);
    return new Promise((resolve, reject) => {
      req.once("error", reject);
      req.once("response", (res) => void readResponse(res).then(resolve));
      req.end(options.body ?? "hello");
    });
  }

  /** Sends raw bytes on a new connection, and half-closes it if `halfClose`;
   * resolves to everything received until the connection closes. */
  sendRaw(bytes: string | Buffer, { halfClose = false } = {}): Promise<string> {
    const [host, port] = this.#address.split(":");
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port) });
      const chunks: Buffer[] = [];
      socket.on("data", (chunk) => chunks.push(chunk));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve(Buffer.concat(chunks).toString()));
      if (halfClose) {
        socket.end(bytes);
      } else {
        socket.write(bytes);
      }
    });
  }

  close(): void {
    this.node.close();
    this.endpoints.forEach((endpoint) => endpoint.close());
  }
}

/** Reads a response to its end, complete or not. */
export function readResponse(
  res: http.IncomingMessage,
): Promise<ReceivedResponse> {
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    res.on("data", (chunk: Buffer) => chunks.push(chunk));
    res.on("error", () => undefined);
    res.on("close", () =>
      resolve({
        status: res.statusCode ?? 0,
        headers: res.headers,
        body: Buffer.concat(chunks).toString(),
        bytes: Buffer.concat(chunks),
        isComplete: res.complete,
      }));
  });
}
