import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as net from "node:net";
import { splitHostPort } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  readResponse,
  type ReceivedRequest,
  rejectAsNotRun,
  RelayFixture,
  type RequestHandler,
  resetConnection,
  respond,
} from "./relay_fixture.ts";

/** Time in which the end of a client must reach endpoints. */
const CLOSE_TIMEOUT_MS = 500;
const STREAM_HEADERS = { "content-type": "text/event-stream", "x-signed": "1" };

function writeStreamHead(request: ReceivedRequest, res: ServerResponse): void {
  res.writeHead(200, { ...STREAM_HEADERS, "x-id": request.id });
}

function sseEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Sends the events up to `last`, resuming after the request's last event id. */
function sendEvents(last: number): RequestHandler {
  return (request, res) => {
    writeStreamHead(request, res);
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= last; id += 1) {
      res.write(sseEvent(id));
    }
    res.end();
  };
}

function eventsThrough(last: number): string {
  return Array.from({ length: last }, (_, i) => sseEvent(i + 1)).join("");
}

describe("relay", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  const requestCounts = () =>
    fixture.endpoints.map(({ requests }) => requests.length);

  it("forwards method, path, body and headers, and relays the response", async () => {
    await fixture.start(respond);
    const response = await fixture.send("/safe/a%20b?c=%2F", {
      method: "PUT",
      headers: { "x-other": "1", connection: "x-hop", "x-hop": "1" },
    });
    expect(response.body).to.equal("answer to r1");
    expect(response.headers["x-signed"]).to.equal("1");
    const [request] = fixture.endpoints[0]!.requests;
    expect([request!.method, request!.path, request!.body]).to.deep.equal([
      "PUT",
      "/safe/a%20b?c=%2F",
      "hello",
    ]);
    expect(request!.headers["x-other"]).to.equal("1");
    expect(request!.headers["x-hop"]).to.equal(undefined);
    expect(request!.headers.authorization).to.equal(undefined);
    expect(request!.headers["x-account"]).to.equal("acme");
    expect(request!.headers["x-endpoint"]).to.equal("e1");
    expect(Number(request!.headers["x-left"])).to.be.within(1, 5_000);
  });

  it("does not forward reserved headers from clients", async () => {
    await fixture.start(respond);
    await fixture.send("/safe/", {
      headers: { "x-endpoint": "e9", "x-account": "other" },
    });
    const { headers } = fixture.endpoints[0]!.requests[0]!;
    expect(headers["x-endpoint"]).to.equal("e1");
    expect(headers["x-account"]).to.equal("acme");
  });

  it("rejects requests that violate the configuration", async () => {
    await fixture.start(respond);
    const responses = await Promise.all([
      fixture.send("/nowhere/"),
      fixture.send("/safe/", { headers: { authorization: "wrong" } }),
      fixture.send("/safe/", { body: "x".repeat(70_000) }),
      fixture.send("/safe/", { headers: { "x-big": "x".repeat(5_000) } }),
    ]);
    expect(responses.map(({ status }) => status)).to.deep.equal([
      404,
      401,
      413,
      431,
    ]);
    expect(requestCounts()).to.deep.equal([0]);
  });

  it("retries on another endpoint when one is unreachable", async () => {
    await fixture.start(respond, respond);
    fixture.endpoints[0]!.close();
    const response = await fixture.send("/unsafe/");
    expect(response.status).to.equal(200);
    expect(requestCounts()).to.deep.equal([0, 1]);
  });

  it("retries on another endpoint when one did not run the request", async () => {
    await fixture.start(rejectAsNotRun, respond);
    expect((await fixture.send("/unsafe/")).status).to.equal(200);
    expect(requestCounts()).to.deep.equal([1, 1]);
  });

  it("reports that a request has not run, with a retry-after header", async () => {
    await fixture.start(rejectAsNotRun, rejectAsNotRun);
    const response = await fixture.send("/unsafe/");
    expect(response.status).to.equal(503);
    expect(Number(response.headers["retry-after"])).to.be.within(0.01, 2);
    expect(JSON.parse(response.body)).to.have.nested.property(
      "error.run",
      "not-run",
    );
  });

  for (const path of ["/unsafe/", "/chat/"]) {
    it(`does not retry ${path} when it may have run`, async () => {
      await fixture.start(resetConnection, respond);
      const response = await fixture.send(path);
      expect(response.status).to.equal(502);
      expect(requestCounts()).to.deep.equal([1, 0]);
    });
  }

  it("retries safe requests up to the route's attempt limit", async () => {
    await fixture.start(resetConnection, respond, respond);
    expect((await fixture.send("/safe/")).status).to.equal(200);
    fixture.endpoints.forEach((endpoint) => {
      endpoint.handler = resetConnection;
      endpoint.requests.length = 0;
    });
    expect((await fixture.send("/safe/", { id: "r2" })).status).to.equal(502);
    const total = requestCounts().reduce((sum, count) => sum + count, 0);
    expect(total).to.equal(2);
  });

  it("refuses a request during which an endpoint crashed twice", async () => {
    await fixture.start(resetConnection);
    for (const startedMs of [2, 3]) {
      await fixture.send("/unsafe/", { body: "poison" });
      const { entry } = fixture.node.registry.get("e1")!;
      fixture.node.registry.put({ ...entry, startedMs });
    }
    fixture.endpoints[0]!.handler = respond;
    const response = await fixture.send("/unsafe/", { body: "poison" });
    expect(response.status).to.equal(503);
    expect(Number(response.headers["retry-after"])).to.be.above(0);
    expect(requestCounts()).to.deep.equal([2]);
    const other = await fixture.send("/unsafe/", { body: "harmless" });
    expect(other.status).to.equal(200);
  });

  it("relays a server error of an endpoint unchanged", async () => {
    await fixture.start((request, res) => {
      res.writeHead(500, { "x-id": request.id, "x-signed": "7" });
      res.end("it failed");
    });
    const response = await fixture.send("/unsafe/");
    expect([response.status, response.body]).to.deep.equal([500, "it failed"]);
    expect(response.headers["x-signed"]).to.equal("7");
  });

  it("does not relay a 503 without the not-run header", async () => {
    await fixture.start((request, res) => {
      res.writeHead(503, { "x-id": request.id, "x-signed": "1" });
      res.end();
    });
    expect((await fixture.send("/unsafe/")).status).to.equal(502);
  });

  it("does not relay a response to another request", async () => {
    await fixture.start((_request, res) => {
      res.writeHead(200, { "x-id": "other", "x-signed": "1" });
      res.end("not yours");
    });
    const response = await fixture.send("/unsafe/");
    expect(response.status).to.equal(502);
    expect(response.body).to.not.contain("not yours");
  });

  it("does not relay an unsigned response", async () => {
    await fixture.start((request, res) => {
      res.writeHead(200, { "x-id": request.id });
      res.end("unsigned");
    });
    expect((await fixture.send("/unsafe/")).status).to.equal(502);
  });

  it("does not relay a surplus response to the next request", async () => {
    await fixture.start((request, res, socket) => {
      respond(request, res, socket);
      res.once("finish", () =>
        socket.write(
          `HTTP/1.1 200 OK\r\nx-id: ${request.id}\r\nx-signed: 1\r\n` +
            "content-length: 5\r\n\r\nextra",
        ));
    });
    for (let i = 0; i < 20; i += 1) {
      const response = await fixture.send("/safe/", { id: `r${i}` });
      expect(response.body === `answer to r${i}` || response.status === 502)
        .to.equal(true);
    }
  });

  it("aborts the client's response when the endpoint's is cut off", async () => {
    await fixture.start((request, res, socket) => {
      res.writeHead(200, {
        "x-id": request.id,
        "x-signed": "1",
        "content-length": "100",
      });
      res.write("half", () => socket.resetAndDestroy());
    });
    const response = await fixture.send("/unsafe/");
    expect(response.isComplete).to.equal(false);
  });

  it("relays events without buffering the stream", async () => {
    let finishStream: () => void = () => undefined;
    await fixture.start((request, res) => {
      writeStreamHead(request, res);
      res.write(sseEvent(1));
      finishStream = () => res.end(sseEvent(2));
    });
    const req = fixture.open("/chat/");
    req.end();
    const [res] = await once(req, "response") as [IncomingMessage];
    const [first] = await once(res, "data") as [Buffer];
    expect(first.toString()).to.equal(sseEvent(1));
    finishStream();
    const response = await readResponse(res);
    expect(response.body).to.equal(sseEvent(2));
    expect(response.isComplete).to.equal(true);
  });

  it("logs the time to the response head and to its end separately", async () => {
    let finishStream = () => {};
    await fixture.start((request, res) => {
      writeStreamHead(request, res);
      res.write(sseEvent(1));
      finishStream = () => res.end(sseEvent(2));
    });
    const req = fixture.open("/chat/");
    req.end("hello");
    const [res] = await once(req, "response") as [IncomingMessage];
    const delayMs = 50;
    setTimeout(() => finishStream(), delayMs);
    expect((await readResponse(res)).body).to.equal(eventsThrough(2));
    const logEntry = (name: string) =>
      fixture.logLines.map((text) => JSON.parse(text) as Record<string, number>)
        .find(({ event }) => String(event) === name)!;
    // Both values are rounded, and timers may fire a millisecond early.
    expect(logEntry("answered")["durationMs"]! - logEntry("send")["headMs"]!)
      .to.be.above(delayMs - 3);
  });

  it("resumes a stream on another endpoint after the last complete event", async () => {
    await fixture.start((request, res, socket) => {
      writeStreamHead(request, res);
      res.write(
        `${sseEvent(1)}${sseEvent(2)}id: 3\nda`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    }, sendEvents(5));
    const response = await fixture.send("/resume/");
    expect(response.body).to.equal(eventsThrough(5));
    expect(response.isComplete).to.equal(true);
    const { headers } = fixture.endpoints[1]!.requests[0]!;
    expect(headers["last-event-id"]).to.equal("2");
  });

  it("aborts a stream that is not resumable", async () => {
    await fixture.start((request, res, socket) => {
      writeStreamHead(request, res);
      res.write(sseEvent(1), () => socket.resetAndDestroy());
    }, sendEvents(5));
    const response = await fixture.send("/chat/");
    expect(response.isComplete).to.equal(false);
    expect(requestCounts()).to.deep.equal([1, 0]);
  });

  it("forwards the client's last-event-id", async () => {
    await fixture.start(sendEvents(4));
    const response = await fixture.send("/resume/", {
      headers: { "last-event-id": "3" },
    });
    expect(response.body).to.equal(sseEvent(4));
  });

  it("closes the endpoint connection when the client disconnects", async () => {
    await fixture.start(() => undefined);
    const req = fixture.open("/chat/");
    req.on("error", () => undefined);
    req.end();
    while (fixture.endpoints[0]!.requests.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    req.destroy();
    await fixture.endpoints[0]!.requests[0]!.closed;
  });

  // A request behind another one on the same connection ran on to its end after its
  // client had left.
  for (const path of ["/safe/", "/unsafe/", "/chat/", "/resume/"]) {
    it(`closes the endpoint connections of requests sent one behind the other when the client disconnects: ${path}`, async () => {
      await fixture.start(() => undefined, () => undefined);
      const socket = net.connect(splitHostPort(fixture.address));
      socket.on("error", () => undefined);
      for (const id of ["r1", "r2"]) {
        socket.write(
          `POST ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: k\r\nx-id: ${id}\r\n` +
            "content-length: 0\r\n\r\n",
        );
      }
      const received = () =>
        fixture.endpoints.flatMap(({ requests }) => requests);
      while (received().length < 2) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      socket.resetAndDestroy();
      await Promise.all(received().map(({ closed }) => closed));
      expect(received()).to.have.length(2);
    }).timeout(CLOSE_TIMEOUT_MS);
  }

  it("responds with 504 at the route's timeout", async () => {
    await fixture.start(() => undefined);
    fixture.configure(2, 100);
    expect((await fixture.send("/unsafe/")).status).to.equal(504);
    await fixture.endpoints[0]!.requests[0]!.closed;
  });

  it("responds with 504 at the client's timeout if it is shorter", async () => {
    await fixture.start(() => undefined);
    const response = await fixture.send("/chat/", {
      headers: { "x-left": "80" },
    });
    expect(response.status).to.equal(504);
    const { headers } = fixture.endpoints[0]!.requests[0]!;
    expect(Number(headers["x-left"])).to.be.at.most(80);
  });

  it("sends no requests to an endpoint that is leaving", async () => {
    await fixture.start(respond, respond);
    const { entry } = fixture.node.registry.get("e1")!;
    fixture.node.registry.put({ ...entry, state: "leaving" });
    for (let i = 0; i < 5; i += 1) {
      await fixture.send("/safe/");
    }
    expect(requestCounts()).to.deep.equal([0, 5]);
  });

  it("refuses requests while the availability zone is out of service", async () => {
    await fixture.start(respond);
    fixture.node.registry.setZoneOut("a", true);
    const response = await fixture.send("/safe/");
    expect(response.status).to.equal(503);
    expect(response.headers["retry-after"]).to.not.equal(undefined);
  });

  it("rejects requests with both content-length and transfer-encoding", async () => {
    await fixture.start(respond);
    const text = await fixture.sendRaw(
      "POST /unsafe/ HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: k\r\n" +
        "x-id: r1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n" +
        "0\r\n\r\nPOST /unsafe/ HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n",
    );
    expect(text).to.contain("400");
    expect(requestCounts()).to.deep.equal([0]);
  });

  it("completes requests in flight during a graceful shutdown", async () => {
    let finish: () => void = () => undefined;
    await fixture.start((request, res, socket) => {
      finish = () => respond(request, res, socket);
    });
    const sent = fixture.send("/unsafe/");
    while (fixture.endpoints[0]!.requests.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const stopped = fixture.node.stop({ graceMs: 8_000 });
    expect(fixture.node.isReady).to.equal(false);
    finish();
    const response = await sent;
    expect(response.status).to.equal(200);
    expect(response.headers.connection).to.equal("close");
    await stopped;
  });
});
