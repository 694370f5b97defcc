import type * as net from "node:net";
import process from "node:process";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture, type RequestHandler, respond } from "./relay_fixture.ts";

/** Timeout of the routes in these tests, milliseconds. */
const ROUTE_TIMEOUT_MS = 600;
/** Time by which a request must be answered and its connection closed. */
const MAX_DURATION_MS = ROUTE_TIMEOUT_MS + 1_000;
/** Memory that one endless response may take up, with room for the garbage of
 * the test itself. */
const MAX_GROWTH_BYTES = 64 * 1_024 * 1_024;
const CHUNK = "x".repeat(16_384);

/** Writes `chunk` until the connection is closed, as fast as it is read or at an
 * interval. */
function writeEndlessly(
  socket: net.Socket,
  chunk: string,
  { intervalMs = 0 } = {},
): void {
  socket.on("error", () => undefined);
  const write = () => {
    while (!socket.destroyed && socket.write(chunk) && intervalMs === 0);
  };
  if (intervalMs > 0) {
    const timer = setInterval(write, intervalMs);
    socket.once("close", () => clearInterval(timer));
  } else {
    socket.on("drain", write);
  }
  write();
}

/** Sends `start`, then `chunk` without end. */
function endless(
  start: (id: string) => string,
  chunk: string,
  options: { intervalMs?: number } = {},
): RequestHandler {
  return ({ id }, _res, socket) => {
    socket.write(start(id));
    writeEndlessly(socket, chunk, options);
  };
}

const signedHead = (fields: string) => (id: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: 1\r\n${fields}\r\n\r\n`;
const chunked = (data: string) => `${data.length.toString(16)}\r\n${data}\r\n`;

const ENDLESS_HEADS: Record<string, RequestHandler> = {
  "bytes that are not HTTP": endless(() => "", CHUNK),
  "header fields": endless(
    (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n`,
    `a: ${"x".repeat(1_000)}\r\n`,
  ),
  "one header field": endless(
    (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\na: `,
    CHUNK,
  ),
  "a header field, a byte at a time": endless(
    (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\na: `,
    "x",
    { intervalMs: 20 },
  ),
  "informational responses": endless(
    () => "",
    "HTTP/1.1 102 Processing\r\n\r\n",
  ),
};

const ENDLESS_BODIES: Record<string, RequestHandler> = {
  "a body delimited by the end of the connection": endless(
    signedHead("connection: close"),
    CHUNK,
  ),
  "a chunked body": endless(
    signedHead("transfer-encoding: chunked"),
    chunked(CHUNK),
  ),
  "a chunked body, a byte at a time": endless(
    signedHead("transfer-encoding: chunked"),
    chunked("x"),
    { intervalMs: 20 },
  ),
  "a chunk extension": endless(
    (id) => `${signedHead("transfer-encoding: chunked")(id)}5;`,
    CHUNK,
  ),
  "trailers": endless(
    (id) => `${signedHead("transfer-encoding: chunked")(id)}1\r\nx\r\n0\r\n`,
    `a: ${"x".repeat(1_000)}\r\n`,
  ),
};

const ENDLESS_EVENT = endless(
  signedHead("content-type: text/event-stream\r\ntransfer-encoding: chunked"),
  chunked(CHUNK),
);

describe("a response of an endpoint that never ends", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  async function start(...handlers: RequestHandler[]): Promise<void> {
    await fixture.start(...handlers);
    fixture.configure(2, ROUTE_TIMEOUT_MS);
  }

  /** Sends a request; checks that it and its connections end in time and that
   * the process does not grow. */
  async function sendBounded(path: string, { id = "r1" } = {}) {
    const memoryBefore = process.memoryUsage().rss;
    const startMs = performance.now();
    const outcome = await sendAndDiscard(path, id);
    await waitForClosedConnections(startMs + MAX_DURATION_MS);
    expect(process.memoryUsage().rss - memoryBefore, "growth in bytes")
      .to.be.below(MAX_GROWTH_BYTES);
    return outcome;
  }

  /** Sends a request and reads its response without keeping it. */
  function sendAndDiscard(
    path: string,
    id: string,
  ): Promise<{ status: number; isComplete: boolean }> {
    return new Promise((resolve) => {
      const req = fixture.open(path, { id });
      req.once("error", () => resolve({ status: 0, isComplete: false }));
      req.once("response", (res) => {
        res.resume().on("error", () => undefined).once("close", () =>
          resolve({
            status: res.statusCode ?? 0,
            isComplete: res.complete,
          }));
      });
      req.end("hello");
    });
  }

  /** Waits until the faulty endpoint's connections are closed and its load is no
   * longer counted. */
  async function waitForClosedConnections(untilMs: number): Promise<void> {
    const [faulty] = fixture.endpoints;
    const isClosed = () =>
      Promise.race([
        Promise.all(faulty!.requests.map(({ closed }) => closed))
          .then(() => true),
        new Promise<boolean>((resolve) =>
          setTimeout(() => resolve(false), untilMs - performance.now())
        ),
      ]);
    expect(await isClosed(), "connections are closed").to.equal(true);
    await new Promise(setImmediate);
    expect(fixture.node.endpointLoads.totalInFlight("e1/1"), "load")
      .to.equal(0);
  }

  /** Whether new requests avoid the first endpoint. */
  async function isFirstAvoided(): Promise<boolean> {
    const [first] = fixture.endpoints;
    const before = first!.requests.length;
    first!.handler = respond;
    for (let index = 0; index < 4; index += 1) {
      await fixture.send("/safe/a", { id: `probe-${index}` });
    }
    return first!.requests.length === before;
  }

  for (const [name, handler] of Object.entries(ENDLESS_HEADS)) {
    it(`is lost if its head is ${name}`, async () => {
      await start(handler, respond);
      const outcome = await sendBounded("/unsafe/a");
      expect(outcome.status).to.be.oneOf([502, 504]);
      expect(await isFirstAvoidedAfter("/unsafe/a", handler)).to.equal(true);
    });
  }

  for (const [name, handler] of Object.entries(ENDLESS_BODIES)) {
    it(`does not look complete if it is ${name}`, async () => {
      await start(handler, respond);
      const outcome = await sendBounded("/unsafe/a");
      expect(outcome.isComplete).to.equal(false);
      expect(await isFirstAvoidedAfter("/unsafe/a", handler)).to.equal(true);
    });
  }

  for (const path of ["/chat/a", "/resume/a"]) {
    it(`is cut off on ${path} if an event never ends`, async () => {
      await start(ENDLESS_EVENT, ENDLESS_EVENT);
      const startMs = performance.now();
      const { isComplete } = await sendBounded(path);
      expect(isComplete).to.equal(false);
      expect(performance.now() - startMs).to.be.below(ROUTE_TIMEOUT_MS);
    });
  }

  // What was kept of a resumable response that says it is no stream had no bound.
  it("is cut off on a resumable route if no event ends and it is no stream", async () => {
    const handler = endless(
      signedHead("content-type: application/json"),
      CHUNK,
    );
    await start(handler, handler);
    const startMs = performance.now();
    const { isComplete } = await sendBounded("/resume/a");
    expect(isComplete).to.equal(false);
    expect(performance.now() - startMs).to.be.below(ROUTE_TIMEOUT_MS);
  });

  for (const [status, fields] of [[503, "x-not-run: 1\r\n"], [500, ""]]) {
    for (const [pace, intervalMs] of [["fast", 0], ["slow", 20]] as const) {
      it(`is not read on after status ${status}, ${pace}`, async () => {
        const handler = endless(
          (id) =>
            `HTTP/1.1 ${status} X\r\nx-id: ${id}\r\n${fields}` +
            "transfer-encoding: chunked\r\n\r\n",
          chunked(intervalMs > 0 ? "x" : CHUNK),
          { intervalMs },
        );
        await start(handler, respond);
        const outcome = await sendBounded("/safe/a");
        expect(outcome).to.deep.equal({ status: 200, isComplete: true });
        expect(await isFirstAvoided()).to.equal(true);
      });
    }
  }

  it("does not hold memory for a client that does not read", async () => {
    await start(ENDLESS_BODIES["a chunked body"]!);
    const memoryBefore = process.memoryUsage().rss;
    const req = fixture.open("/unsafe/a");
    req.on("error", () => undefined);
    req.on("response", (res) => res.pause().on("error", () => undefined));
    req.end("hello");
    await new Promise((resolve) => setTimeout(resolve, MAX_DURATION_MS));
    await waitForClosedConnections(performance.now() + 100);
    expect(process.memoryUsage().rss - memoryBefore)
      .to.be.below(MAX_GROWTH_BYTES);
    req.destroy();
  });

  /** Repeats the request as often as one failure may be passed over, then tells
   * whether new requests avoid the first endpoint. */
  async function isFirstAvoidedAfter(
    path: string,
    handler: RequestHandler,
  ): Promise<boolean> {
    const [first] = fixture.endpoints;
    for (let index = 0; index < 3; index += 1) {
      const before = first!.requests.length;
      first!.handler = handler;
      await sendAndDiscard(path, `again-${index}`);
      if (first!.requests.length === before) {
        break;
      }
    }
    return await isFirstAvoided();
  }
});
