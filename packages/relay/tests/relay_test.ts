import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  answer,
  type Behaviour,
  collect,
  reject,
  RelayFixture,
  reset,
  type Seen,
} from "./relay_fixture.ts";

const STREAM_HEAD = { "content-type": "text/event-stream", "x-signed": "1" };

function streamHead(seen: Seen, res: ServerResponse): void {
  res.writeHead(200, { ...STREAM_HEAD, "x-id": seen.id });
}

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Sends events up to the last, from after the one the request names. */
function events(last: number): Behaviour {
  return (seen, res) => {
    streamHead(seen, res);
    const first = Number(seen.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= last; id += 1) {
      res.write(event(id));
    }
    res.end();
  };
}

function all(last: number): string {
  return Array.from({ length: last }, (_, at) => event(at + 1)).join("");
}

describe("relay", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  const arrivals = () => fixture.endpoints.map(({ seen }) => seen.length);

  it("passes method, path, body and headers on, and the answer back", async () => {
    await fixture.start(answer);
    const got = await fixture.send("/safe/a%20b?c=%2F", {
      method: "PUT",
      headers: { "x-other": "1", connection: "x-hop", "x-hop": "1" },
    });
    expect(got.body).to.equal("answer to r1");
    expect(got.headers["x-signed"]).to.equal("1");
    const [seen] = fixture.endpoints[0]!.seen;
    expect([seen!.method, seen!.path, seen!.body]).to.deep.equal([
      "PUT",
      "/safe/a%20b?c=%2F",
      "hello",
    ]);
    expect(seen!.headers["x-other"]).to.equal("1");
    expect(seen!.headers["x-hop"]).to.equal(undefined);
    expect(seen!.headers.authorization).to.equal(undefined);
    expect(seen!.headers["x-account"]).to.equal("acme");
    expect(seen!.headers["x-endpoint"]).to.equal("e1");
    expect(Number(seen!.headers["x-left"])).to.be.within(1, 5_000);
  });

  it("does not let callers set what this node sets", async () => {
    await fixture.start(answer);
    await fixture.send("/safe/", {
      headers: { "x-endpoint": "e9", "x-account": "other" },
    });
    const { headers } = fixture.endpoints[0]!.seen[0]!;
    expect(headers["x-endpoint"]).to.equal("e1");
    expect(headers["x-account"]).to.equal("acme");
  });

  it("refuses what no configuration allows", async () => {
    await fixture.start(answer);
    const statuses = await Promise.all([
      fixture.send("/nowhere/"),
      fixture.send("/safe/", { headers: { authorization: "wrong" } }),
      fixture.send("/safe/", { body: "x".repeat(70_000) }),
      fixture.send("/safe/", { headers: { "x-big": "x".repeat(5_000) } }),
    ]);
    expect(statuses.map(({ status }) => status)).to.deep.equal([
      404,
      401,
      413,
      431,
    ]);
    expect(arrivals()).to.deep.equal([0]);
  });

  it("tries another endpoint when one cannot be reached", async () => {
    await fixture.start(answer, answer);
    fixture.endpoints[0]!.close();
    const got = await fixture.send("/unsafe/");
    expect(got.status).to.equal(200);
    expect(arrivals()).to.deep.equal([0, 1]);
  });

  it("tries another endpoint when one did not run the request", async () => {
    await fixture.start(reject, answer);
    expect((await fixture.send("/unsafe/")).status).to.equal(200);
    expect(arrivals()).to.deep.equal([1, 1]);
  });

  it("says that a request has not run, and when to come back", async () => {
    await fixture.start(reject, reject);
    const got = await fixture.send("/unsafe/");
    expect(got.status).to.equal(503);
    expect(Number(got.headers["retry-after"])).to.be.within(0.01, 2);
    expect(JSON.parse(got.body)).to.have.nested.property(
      "error.run",
      "not-run",
    );
  });

  for (const path of ["/unsafe/", "/chat/"]) {
    it(`sends ${path} once when it may have run`, async () => {
      await fixture.start(reset, answer);
      const got = await fixture.send(path);
      expect(got.status).to.equal(502);
      expect(arrivals()).to.deep.equal([1, 0]);
    });
  }

  it("repeats safe calls, within the route's limit", async () => {
    await fixture.start(reset, answer, answer);
    expect((await fixture.send("/safe/")).status).to.equal(200);
    fixture.endpoints.forEach((endpoint) => {
      endpoint.behaviour = reset;
      endpoint.seen.length = 0;
    });
    expect((await fixture.send("/safe/", { id: "r2" })).status).to.equal(502);
    const total = arrivals().reduce((sum, count) => sum + count, 0);
    expect(total).to.equal(2);
  });

  it("refuses a request with which an endpoint went down twice", async () => {
    await fixture.start(reset);
    for (const bornMs of [2, 3]) {
      await fixture.send("/unsafe/", { body: "poison" });
      const { entry } = fixture.node.registry.get("e1")!;
      fixture.node.registry.put({ ...entry, startedMs: bornMs });
    }
    fixture.endpoints[0]!.behaviour = answer;
    const got = await fixture.send("/unsafe/", { body: "poison" });
    expect(got.status).to.equal(503);
    expect(Number(got.headers["retry-after"])).to.be.above(0);
    expect(arrivals()).to.deep.equal([2]);
    const other = await fixture.send("/unsafe/", { body: "harmless" });
    expect(other.status).to.equal(200);
  });

  it("relays an endpoint's own failure unchanged", async () => {
    await fixture.start((seen, res) => {
      res.writeHead(500, { "x-id": seen.id, "x-signed": "7" });
      res.end("it failed");
    });
    const got = await fixture.send("/unsafe/");
    expect([got.status, got.body]).to.deep.equal([500, "it failed"]);
    expect(got.headers["x-signed"]).to.equal("7");
  });

  it("does not promise for an endpoint that gives no mark", async () => {
    await fixture.start((seen, res) => {
      res.writeHead(503, { "x-id": seen.id, "x-signed": "1" });
      res.end();
    });
    expect((await fixture.send("/unsafe/")).status).to.equal(502);
  });

  it("does not relay an answer to another request", async () => {
    await fixture.start((_seen, res) => {
      res.writeHead(200, { "x-id": "other", "x-signed": "1" });
      res.end("not yours");
    });
    const got = await fixture.send("/unsafe/");
    expect(got.status).to.equal(502);
    expect(got.body).to.not.contain("not yours");
  });

  it("does not relay an answer that the endpoint does not sign", async () => {
    await fixture.start((seen, res) => {
      res.writeHead(200, { "x-id": seen.id });
      res.end("unsigned");
    });
    expect((await fixture.send("/unsafe/")).status).to.equal(502);
  });

  it("does not hand a second answer to the next request", async () => {
    await fixture.start((seen, res, socket) => {
      answer(seen, res, socket);
      res.once("finish", () =>
        socket.write(
          `HTTP/1.1 200 OK\r\nx-id: ${seen.id}\r\nx-signed: 1\r\n` +
            "content-length: 5\r\n\r\nextra",
        ));
    });
    for (let at = 0; at < 20; at += 1) {
      const got = await fixture.send("/safe/", { id: `r${at}` });
      expect(got.body === `answer to r${at}` || got.status === 502)
        .to.equal(true);
    }
  });

  it("breaks the caller's answer off where the endpoint's breaks", async () => {
    await fixture.start((seen, res, socket) => {
      res.writeHead(200, {
        "x-id": seen.id,
        "x-signed": "1",
        "content-length": "100",
      });
      res.write("half", () => socket.resetAndDestroy());
    });
    const got = await fixture.send("/unsafe/");
    expect(got.isWhole).to.equal(false);
  });

  it("relays events as they come", async () => {
    let proceed: () => void = () => undefined;
    await fixture.start((seen, res) => {
      streamHead(seen, res);
      res.write(event(1));
      proceed = () => res.end(event(2));
    });
    const req = fixture.open("/chat/");
    req.end();
    const [res] = await once(req, "response") as [IncomingMessage];
    const [first] = await once(res, "data") as [Buffer];
    expect(first.toString()).to.equal(event(1));
    proceed();
    const got = await collect(res);
    expect(got.body).to.equal(event(2));
    expect(got.isWhole).to.equal(true);
  });

  it("tells the time to the head of an answer from the time to its end", async () => {
    let end = () => {};
    await fixture.start((seen, res) => {
      streamHead(seen, res);
      res.write(event(1));
      end = () => res.end(event(2));
    });
    const req = fixture.open("/chat/");
    req.end("hello");
    const [res] = await once(req, "response") as [IncomingMessage];
    const apartMs = 50;
    setTimeout(() => end(), apartMs);
    expect((await collect(res)).body).to.equal(all(2));
    const line = (name: string) =>
      fixture.lines.map((text) => JSON.parse(text) as Record<string, number>)
        .find(({ event }) => String(event) === name)!;
    // Both figures are rounded, and timers may fire a millisecond early.
    expect(line("answered")["durationMs"]! - line("send")["headMs"]!)
      .to.be.above(apartMs - 3);
  });

  it("resumes a stream elsewhere after the last whole event", async () => {
    await fixture.start((seen, res, socket) => {
      streamHead(seen, res);
      res.write(
        `${event(1)}${event(2)}id: 3\nda`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    }, events(5));
    const got = await fixture.send("/resume/");
    expect(got.body).to.equal(all(5));
    expect(got.isWhole).to.equal(true);
    const { headers } = fixture.endpoints[1]!.seen[0]!;
    expect(headers["last-event-id"]).to.equal("2");
  });

  it("breaks a stream that may not be resumed", async () => {
    await fixture.start((seen, res, socket) => {
      streamHead(seen, res);
      res.write(event(1), () => socket.resetAndDestroy());
    }, events(5));
    const got = await fixture.send("/chat/");
    expect(got.isWhole).to.equal(false);
    expect(arrivals()).to.deep.equal([1, 0]);
  });

  it("passes the event that a caller resumes after", async () => {
    await fixture.start(events(4));
    const got = await fixture.send("/resume/", {
      headers: { "last-event-id": "3" },
    });
    expect(got.body).to.equal(event(4));
  });

  it("cancels at the endpoint when the caller leaves", async () => {
    await fixture.start(() => undefined);
    const req = fixture.open("/chat/");
    req.on("error", () => undefined);
    req.end();
    while (fixture.endpoints[0]!.seen.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    req.destroy();
    await fixture.endpoints[0]!.seen[0]!.closed;
  });

  it("answers at the route's time limit", async () => {
    await fixture.start(() => undefined);
    fixture.configure(2, 100);
    expect((await fixture.send("/unsafe/")).status).to.equal(504);
    await fixture.endpoints[0]!.seen[0]!.closed;
  });

  it("answers at the caller's time limit if that is sooner", async () => {
    await fixture.start(() => undefined);
    const got = await fixture.send("/chat/", { headers: { "x-left": "80" } });
    expect(got.status).to.equal(504);
    const { headers } = fixture.endpoints[0]!.seen[0]!;
    expect(Number(headers["x-left"])).to.be.at.most(80);
  });

  it("gives no work to an endpoint that leaves", async () => {
    await fixture.start(answer, answer);
    const { entry } = fixture.node.registry.get("e1")!;
    fixture.node.registry.put({ ...entry, state: "leaving" });
    for (let at = 0; at < 5; at += 1) {
      await fixture.send("/safe/");
    }
    expect(arrivals()).to.deep.equal([0, 5]);
  });

  it("refuses while no endpoint is in service", async () => {
    await fixture.start(answer);
    fixture.node.registry.setZoneOut("a", true);
    const got = await fixture.send("/safe/");
    expect(got.status).to.equal(503);
    expect(got.headers["retry-after"]).to.not.equal(undefined);
  });

  it("refuses requests framed in two ways", async () => {
    await fixture.start(answer);
    const text = await fixture.raw(
      "POST /unsafe/ HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: k\r\n" +
        "x-id: r1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n" +
        "0\r\n\r\nPOST /unsafe/ HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n",
    );
    expect(text).to.contain("400");
    expect(arrivals()).to.deep.equal([0]);
  });

  it("finishes what is in flight when it stops", async () => {
    let finish: () => void = () => undefined;
    await fixture.start((seen, res, socket) => {
      finish = () => answer(seen, res, socket);
    });
    const sent = fixture.send("/unsafe/");
    while (fixture.endpoints[0]!.seen.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const stopped = fixture.node.stop({ graceMs: 8_000 });
    expect(fixture.node.isReady).to.equal(false);
    finish();
    const got = await sent;
    expect(got.status).to.equal(200);
    expect(got.headers.connection).to.equal("close");
    await stopped;
  });
});
