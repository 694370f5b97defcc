import type * as net from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { type RawResponse, sendRawRequest } from "./raw_client.ts";
import { RelayFixture, type RequestHandler } from "./relay_fixture.ts";

const LINE_ENDS = { LF: "\n", CR: "\r", CRLF: "\r\n" };
const FRAMINGS = ["close", "length", "chunked"] as const;
const CONNECTIONS = ["close", "keep-alive"] as const;
/** Ways in which an endpoint's connection ends. */
const ENDS = ["orderly close", "reset", "reset directly after data"] as const;
/** Time for bytes to arrive before their connection is reset. */
const SETTLE_MS = 30;

type Framing = typeof FRAMINGS[number];
type End = typeof ENDS[number];

interface EndpointResponse {
  framing?: Framing;
  contentType?: string;
  connection?: typeof CONNECTIONS[number];
  /** Body that the endpoint would send in all. */
  body: string;
  /** Bytes of the body that it does send. */
  sent?: number;
  /** Whether it sends what follows the last body byte: the last chunk. */
  terminated?: boolean;
  end?: End;
  /** Bytes per write. */
  writeBytes?: number;
}

function event(id: number, lineEnd = "\n"): string {
  return [`id: ${id}`, `data: piece ${id}`, "", ""].join(lineEnd);
}

function events(last: number, { first = 1, lineEnd = "\n" } = {}): string {
  return Array.from(
    { length: last - first + 1 },
    (_, i) => event(first + i, lineEnd),
  ).join("");
}

/** Answers as described, byte by byte on the wire. */
function answer({
  framing = "close",
  contentType = "text/event-stream",
  connection = framing === "close" ? "close" : "keep-alive",
  body,
  sent = body.length,
  terminated = sent === body.length,
  end = "orderly close",
  writeBytes = body.length,
}: EndpointResponse): RequestHandler {
  return ({ id }, _res, socket) => {
    socket.on("error", () => undefined);
    void respond(id, socket);
  };

  async function respond(id: string, socket: net.Socket): Promise<void> {
    const fields = {
      close: "",
      length: `content-length: ${body.length}\r\n`,
      chunked: "transfer-encoding: chunked\r\n",
    };
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: 1\r\n` +
        `content-type: ${contentType}\r\nconnection: ${connection}\r\n` +
        `${fields[framing]}\r\n`,
    );
    for (let from = 0; from < sent; from += writeBytes) {
      const part = body.slice(from, Math.min(sent, from + writeBytes));
      socket.write(
        framing === "chunked"
          ? `${part.length.toString(16)}\r\n${part}\r\n`
          : part,
      );
      if (writeBytes < sent) {
        await new Promise((resolve) => setTimeout(resolve, 1));
      }
    }
    if (framing === "chunked" && terminated) {
      socket.write("0\r\n\r\n");
    }
    await endConnection(socket, end);
  }
}

async function endConnection(socket: net.Socket, end: End): Promise<void> {
  if (end === "orderly close") {
    socket.end();
    return;
  }
  if (end === "reset") {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }
  socket.resetAndDestroy();
}

describe("a response that an endpoint breaks off", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  const send = (
    path: string,
    options: Partial<Parameters<typeof sendRawRequest>[1]> = {},
  ): Promise<RawResponse> =>
    sendRawRequest(fixture.address, { path, ...options });

  const sendCounts = () => {
    const lines = fixture.logLines.map((line) =>
      JSON.parse(line) as Record<string, unknown>
    );
    return lines.filter((line) => line.event === "send")
      .map(({ outcome }) => outcome);
  };

  for (const [name, lineEnd] of Object.entries(LINE_ENDS)) {
    // A stream without framing that ended inside an event reached its caller as
    // a complete one.
    it(`does not complete a stream with lines in ${name} and no framing that ends inside an event`, async () => {
      const body = events(3, { lineEnd });
      const last = event(3, lineEnd).length;
      for (let cut = 1; cut < last; cut += 1) {
        // The line end of a CRLF file may be read as two blank lines.
        if (body.slice(0, -cut).endsWith("\r\n\r")) {
          continue;
        }
        const handler = answer({ body, sent: body.length - cut });
        fixture = new RelayFixture();
        await fixture.start(handler);
        const response = await send("/chat/");
        fixture.close();
        expect(response.isComplete, `without the last ${cut} bytes`).to
          .equal(false);
        expect(sendCounts()).to.deep.equal(["broken"]);
      }
    });

    it(`completes a stream with lines in ${name} and no framing`, async () => {
      const body = events(3, { lineEnd });
      await fixture.start(answer({ body }));
      const response = await send("/chat/");
      expect(response).to.deep.equal({ status: 200, body, isComplete: true });
    });

    it(`follows the events of a stream with lines in ${name} over small reads`, async () => {
      const body = events(2, { lineEnd });
      await fixture.start(answer({ body, writeBytes: 1 }));
      expect((await send("/chat/")).isComplete).to.equal(true);
      fixture.endpoints[0]!.handler = answer({
        body,
        sent: body.length - 3,
        writeBytes: 1,
      });
      expect((await send("/chat/", { id: "r2" })).isComplete).to.equal(false);
    });
  }

  for (const framing of FRAMINGS) {
    for (const connection of CONNECTIONS) {
      for (const end of ENDS) {
        it(`does not complete a stream with framing ${framing}, connection ${connection}, cut by ${end}`, async () => {
          const body = events(3);
          await fixture.start(
            answer({ framing, connection, body, sent: body.length - 4, end }),
          );
          const response = await send("/chat/");
          expect(response.isComplete).to.equal(false);
          expect(sendCounts()).to.deep.equal(["broken"]);
        });
      }
    }

    for (const contentType of ["text/event-stream", "application/json"]) {
      it(`completes a whole ${contentType} response with framing ${framing}`, async () => {
        const body = events(2);
        await fixture.start(answer({ framing, contentType, body }));
        const response = await send("/chat/");
        expect(response).to.deep.equal({ status: 200, body, isComplete: true });
      });

      it(`does not complete a reset ${contentType} response with framing ${framing}`, async () => {
        const body = events(2);
        await fixture.start(answer({
          framing,
          contentType,
          body,
          sent: event(1).length,
          end: "reset",
        }));
        expect((await send("/chat/")).isComplete).to.equal(false);
      });
    }

    // The page on streams: one that ends inside an event has been broken off.
    it(`does not complete a stream with framing ${framing} whose last event lacks its blank line`, async () => {
      await fixture.start(answer({ framing, body: `${event(1)}data: x\n` }));
      expect((await send("/chat/")).isComplete).to.equal(false);
    });

    it(`completes a stream with framing ${framing} that ends with a comment`, async () => {
      const body = `${event(1)}: end\n`;
      await fixture.start(answer({ framing, body }));
      const response = await send("/chat/");
      expect(response).to.deep.equal({ status: 200, body, isComplete: true });
    });

    // A stream that could be resumed ended at the cut, as complete.
    it(`resumes a stream with framing ${framing} that ends inside an event`, async () => {
      const body = events(3);
      await fixture.start(
        answer({ framing, body, sent: body.length - 4 }),
        answer({ framing, body: event(3) }),
      );
      const response = await send("/resume/");
      expect(response).to.deep.equal({ status: 200, body, isComplete: true });
      const { headers } = fixture.endpoints[1]!.requests[0]!;
      expect(headers["last-event-id"]).to.equal("2");
    });
  }

  for (const contentType of ["text/event-stream", "application/json"]) {
    // Nothing in the bytes tells a whole response from one that was cut between
    // two events because its endpoint crashed.
    it(`does not complete a ${contentType} response without framing whose endpoint is gone`, async () => {
      await fixture.start(({ id }, _res, socket) => {
        socket.write(
          `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: 1\r\n` +
            `content-type: ${contentType}\r\n\r\n${event(1)}`,
          () => fixture.endpoints[0]!.close(),
        );
      });
      expect((await send("/chat/")).isComplete).to.equal(false);
      expect(sendCounts()).to.deep.equal(["broken"]);
    });

    // Streams of an endpoint that had said that it leaves, and was gone in their
    // middle, reached their callers as complete.
    for (
      const [name, isGone] of [["is gone", true], ["listens", false]] as const
    ) {
      it(
        `${
          isGone ? "breaks off" : "completes"
        } a ${contentType} response without framing whose endpoint leaves and ${name}`,
        async () => {
          await fixture.start(({ id }, _res, socket) => {
            const { entry } = fixture.node.registry.get("e1")!;
            fixture.node.registry.put({ ...entry, state: "leaving" });
            socket.write(
              `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: 1\r\n` +
                `content-type: ${contentType}\r\n\r\n${event(1)}`,
              () => isGone ? fixture.endpoints[0]!.close() : socket.end(),
            );
          });
          const response = await send("/chat/");
          expect(response).to.deep.equal({
            status: 200,
            body: event(1),
            isComplete: !isGone,
          });
        },
      );
    }
  }

  // Callers with HTTP/1.0 take an orderly close for the end of the response.
  for (const version of ["1.0", "1.1"] as const) {
    for (const connection of CONNECTIONS) {
      for (const framing of FRAMINGS) {
        it(`shows a cut stream with framing ${framing} to a caller with HTTP/${version} and connection ${connection}`, async () => {
          const body = events(3);
          await fixture.start(
            answer({ framing, body, sent: body.length - 4 }),
          );
          const response = await send("/chat/", { version, connection });
          expect(response.status).to.equal(200);
          expect(response.isComplete).to.equal(false);
          fixture.endpoints[0]!.handler = answer({ framing, body });
          const whole = await send("/chat/", { version, connection, id: "r2" });
          expect(whole).to.deep.equal({ status: 200, body, isComplete: true });
        });
      }

      it(`shows the deadline to a caller with HTTP/${version} and connection ${connection}`, async () => {
        await fixture.start(({ id }, res) => {
          res.writeHead(200, {
            "x-id": id,
            "x-signed": "1",
            "content-type": "text/event-stream",
          });
          res.write(event(1));
        });
        const response = await send("/chat/", {
          version,
          connection,
          headers: "x-left: 150\r\n",
        });
        expect(response.body).to.equal(event(1));
        expect(response.isComplete).to.equal(false);
      });

      it(`shows the end of the node to a caller with HTTP/${version} and connection ${connection}`, async () => {
        await fixture.start(({ id }, res) => {
          res.writeHead(200, {
            "x-id": id,
            "x-signed": "1",
            "content-type": "text/event-stream",
          });
          res.write(event(1));
        });
        const response = await send("/chat/", {
          version,
          connection,
          onFirstBytes: () => fixture.node.close(),
        });
        expect(response.isComplete).to.equal(false);
      });
    }
  }

  for (const end of ENDS) {
    it(`does not complete a stream cut by ${end} while the caller does not read`, async () => {
      const body = `${`data: ${"x".repeat(60_000)}\n\n`.repeat(100)}data: y`;
      await fixture.start(answer({ body, end }));
      const response = await send("/chat/", {
        onFirstBytes: (socket) => {
          socket.pause();
          setTimeout(() => socket.resume(), 300);
        },
      });
      expect(response.isComplete).to.equal(false);
      // The node goes on serving.
      fixture.endpoints[0]!.handler = answer({ body: event(1) });
      expect((await send("/chat/", { id: "r2" })).isComplete).to.equal(true);
    });
  }

  for (const version of ["1.0", "1.1"] as const) {
    // The end of the node cut what its caller had not read of a whole response.
    it(`shows the end of the node to a caller with HTTP/${version} that reads a whole response slowly`, async () => {
      const body = `data: ${"x".repeat(60_000)}\n\n`.repeat(150);
      await fixture.start(answer({ body }));
      const response = await send("/chat/", {
        version,
        onFirstBytes: (socket) => {
          socket.pause();
          setTimeout(() => {
            fixture.node.close();
            socket.resume();
          }, 300);
        },
      });
      expect(response.isComplete).to.equal(response.body.length >= body.length);
    });

    it(`completes a response that a caller with HTTP/${version} reads slowly during a graceful shutdown`, async () => {
      const body = `data: ${"x".repeat(60_000)}\n\n`.repeat(150);
      await fixture.start(answer({ body }));
      let stopped = Promise.resolve();
      const response = await send("/chat/", {
        version,
        onFirstBytes: (socket) => {
          socket.pause();
          stopped = fixture.node.stop({ graceMs: 3_000 });
          setTimeout(() => socket.resume(), 2_500);
        },
      });
      expect(response).to.deep.equal({ status: 200, body, isComplete: true });
      await stopped;
    });
  }

  // A caller got the broken response though the request may run again.
  for (const framing of FRAMINGS) {
    it(`repeats a safe request whose response with framing ${framing} is reset`, async () => {
      const contentType = "application/json";
      const body = JSON.stringify({ state: "ready" });
      await fixture.start(
        answer({ framing, contentType, body, sent: 5, end: "reset" }),
        answer({ framing, contentType, body }),
      );
      const response = await send("/safe/");
      expect(response).to.deep.equal({ status: 200, body, isComplete: true });
      expect(sendCounts()).to.deep.equal(["broken", "delivered"]);
    });
  }
});
