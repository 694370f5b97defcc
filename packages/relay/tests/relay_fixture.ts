import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { LeastLoadedPolicy } from "@limpetshed/dispatch";
import { initHashing } from "@limpetshed/hashing";
import { makeLogger, RelayMetrics } from "@limpetshed/observe";
import type { CallKind, Route } from "@limpetshed/routing";
import { DecisionObserver } from "../src/decision_observer.ts";
import { RelayNode } from "../src/relay_node.ts";
import { TestWireFormat } from "./test_wire_format.ts";

/** One request as an endpoint got it. */
export interface Seen {
  id: string;
  method: string;
  path: string;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Settles when the connection it came on has closed. */
  closed: Promise<void>;
}

/** What an endpoint does with a request. */
export type Behaviour = (
  seen: Seen,
  res: http.ServerResponse,
  socket: net.Socket,
) => void;

/** Answers a request whole. */
export const answer: Behaviour = (seen, res) => {
  res.writeHead(200, { "x-id": seen.id, "x-signed": "1" });
  res.end(`answer to ${seen.id}`);
};

/** Breaks the connection without an answer. */
export const reset: Behaviour = (_seen, _res, socket) => {
  socket.resetAndDestroy();
};

/** Says that it did not run the request. */
export const reject: Behaviour = (seen, res) => {
  res.writeHead(503, { "x-id": seen.id, "x-not-run": "1" });
  res.end();
};

/** An endpoint on loopback. */
export class TestEndpoint {
  readonly seen: Seen[] = [];
  behaviour: Behaviour;
  readonly #server: http.Server;

  constructor(behaviour: Behaviour = answer) {
    this.behaviour = behaviour;
    this.#server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        const seen: Seen = {
          id: String(req.headers["x-id"]),
          method: req.method ?? "",
          path: req.url ?? "",
          headers: req.headers,
          body: Buffer.concat(chunks).toString(),
          closed: new Promise((resolve) => req.socket.once("close", resolve)),
        };
        this.seen.push(seen);
        this.behaviour(seen, res, req.socket);
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

/** What a caller got. */
export interface Got {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  bytes: Buffer;
  /** Whether the answer ended as a complete one. */
  isWhole: boolean;
}

/** A relay before endpoints, all on loopback. */
export class RelayFixture {
  readonly endpoints: TestEndpoint[] = [];
  readonly node: RelayNode;
  #address = "";

  /** Lines that the node logged. */
  readonly lines: string[] = [];

  constructor() {
    const clock = new SystemClock();
    const logger = makeLogger({
      destination: { write: (line: string) => void this.lines.push(line) },
    });
    this.node = new RelayNode({
      clock,
      logger,
      nodeId: "n1",
      nodeIds: () => ["n1"],
      format: new TestWireFormat(),
      observer: new DecisionObserver({
        clock,
        logger,
        metrics: new RelayMetrics(),
      }),
      makePolicy: ({ board }) => new LeastLoadedPolicy({ loads: board }),
      retryLimits: { ratio: 1, slack: 100, windowMs: 10_000 },
      coldLimits: { overage: 1, slack: 0 },
      readyPath: "/ready",
      fraction: () => 0,
    });
  }

  /** Starts with endpoints of these behaviours. */
  async start(...behaviours: Behaviour[]): Promise<void> {
    await initHashing();
    for (const behaviour of behaviours) {
      const endpoint = new TestEndpoint(behaviour);
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
    this.#address = await freeAddress();
    await this.node.listen({
      front: this.#address,
      ready: await freeAddress(),
    });
  }

  /** Puts a configuration in force. */
  configure(version = 1, timeoutMs = 5_000): void {
    const kinds: [string, CallKind, boolean][] = [
      ["safe", "safe", false],
      ["unsafe", "unsafe", false],
      ["chat", "stream", false],
      ["resume", "stream", true],
    ];
    this.node.config.applyIfNewer({
      version,
      routes: kinds.map(([name, kind, resumable]): Route => ({
        name,
        host: "127.0.0.1",
        prefix: `/${name}/`,
        kind,
        resumable,
        timeoutMs,
        targetLatencyMs: undefined,
        priority: 0,
        maxAttempts: 2,
        isPublic: false,
        targets: [{ service: "s", weight: 1 }],
      })),
      services: [{
        name: "s",
        maxConnections: 100,
        coldRequestsPerS: 0,
        cacheTokens: 0,
      }],
      accounts: [{ name: "acme", keys: ["k"], priority: undefined }],
      limits: {
        maxHeaderBytes: 4_096,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
  }

  /** Opens a request; the caller ends it. */
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

  /** Sends a request and reads its answer to the end. */
  send(
    path: string,
    options: {
      id?: string;
      headers?: http.OutgoingHttpHeaders;
      method?: string;
      body?: string;
    } = {},
  ): Promise<Got> {
    const req = this.open(path, options);
    return new Promise((resolve, reject) => {
      req.once("error", reject);
      req.once("response", (res) => void collect(res).then(resolve));
      req.end(options.body ?? "hello");
    });
  }

  /** Sends bytes as they are, and the end of the connection if `ends`;
   * resolves to all that comes back. */
  raw(bytes: string | Buffer, { ends = false } = {}): Promise<string> {
    const [host, port] = this.#address.split(":");
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port) });
      const chunks: Buffer[] = [];
      socket.on("data", (chunk) => chunks.push(chunk));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve(Buffer.concat(chunks).toString()));
      if (ends) {
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

/** Reads an answer to its end, whole or not. */
export function collect(res: http.IncomingMessage): Promise<Got> {
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
        isWhole: res.complete,
      }));
  });
}

async function freeAddress(): Promise<string> {
  const server = net.createServer();
  const address = await listenOn(server, "127.0.0.1:0");
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return address;
}
