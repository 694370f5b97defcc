import type { Buffer } from "node:buffer";
import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { DirectConnector } from "../src/direct_connector.ts";
import type {
  ConnectRequest,
  OpenedConnection,
} from "../src/endpoint_connector.ts";
import { type RawResponse, sendRawRequest } from "./raw_client.ts";
import { RelayFixture } from "./relay_fixture.ts";

const UPLOAD = "u".repeat(1_000_000);
const PATHS = ["/unsafe/", "/chat/", "/resume/"];
/** The largest one is more than the connections on the way take while the client
 * does not read. */
const BODY_BYTES = [5, 200_000, 12_000_000];
const ODD_STATUSES = ["000", "001", "099", "20", "0200", "2000", "2x0", "-12"];

/** Time from a response to the reset of its connection. */
const RESETS = {
  "at once": 0,
  "after 30 ms": 30,
  "after 300 ms": 300,
  "after 900 ms": 900,
};
/** Time for which a client stops reading after the first bytes. */
const PACES = {
  "that reads": 0,
  "that stops reading for 0.7 s": 700,
  "that stops reading": Number.POSITIVE_INFINITY,
};
const MAX_CLIENT_MS = 1_500;
/** Fits into the buffer of a connection, so that the node goes on reading. */
const WRITE_BYTES = 12_000;
const WRITE_INTERVAL_MS = 1;

/** Answers as soon as the head of a request has arrived, and reads no more. */
class EarlyEndpoint {
  /** Ids of the requests received, in order. */
  readonly ids: string[] = [];
  readonly #server: net.Server;

  constructor(answer: (id: string, socket: net.Socket) => void) {
    this.#server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", (chunk: Buffer) => {
        const id = /^x-id: (.*)$/im.exec(chunk.toString("latin1"))?.[1]?.trim();
        this.ids.push(id ?? "");
        socket.pause();
        answer(id ?? "", socket);
      });
    });
  }

  /** Listens on loopback; returns `ip:port`. */
  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  close(): void {
    this.#server.close();
  }
}

/** Keeps the last connection that it opened. */
class RecordingConnector extends DirectConnector {
  socket: net.Socket | undefined;

  override async connect(request: ConnectRequest): Promise<OpenedConnection> {
    const opened = await super.connect(request);
    this.socket = opened.socket;
    return opened;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function head(id: string, status = "200"): string {
  return `HTTP/1.1 ${status} OK\r\nx-id: ${id}\r\nx-signed: 1\r\n` +
    "content-type: text/plain\r\n\r\n";
}

describe("a response to an upload that goes on", () => {
  let fixture: RelayFixture;
  let endpoint: EarlyEndpoint;
  let connector: RecordingConnector;

  beforeEach(() => {
    connector = new RecordingConnector({ clock: new SystemClock() });
    fixture = new RelayFixture({ connector });
  });

  afterEach(() => {
    fixture.close();
    endpoint.close();
  });

  async function start(
    answer: (id: string, socket: net.Socket) => void,
  ): Promise<void> {
    endpoint = new EarlyEndpoint(answer);
    await fixture.start();
    fixture.configure(2, 5_000, { maxBodyBytes: UPLOAD.length });
    fixture.node.registry.put({
      id: "e1",
      service: "s",
      address: await endpoint.listen(),
      availabilityZone: "a",
      slots: 64,
      state: "ready",
      coldMs: 0,
      startedMs: 1,
    });
  }

  /** Uploads on a connection that is not read for `stopMs` after its first
   * bytes. */
  function upload(
    { path, id, stopMs = 0 }: { path: string; id: string; stopMs?: number },
  ): Promise<RawResponse> {
    return sendRawRequest(fixture.address, {
      path,
      id,
      body: UPLOAD,
      onFirstBytes: (socket) => {
        if (stopMs > 0) {
          socket.pause();
          setTimeout(() => {
            if (Number.isFinite(stopMs)) {
              socket.resume();
            } else {
              socket.destroy();
            }
          }, Math.min(stopMs, MAX_CLIENT_MS));
        }
      },
    });
  }

  // The part of a response that had arrived looked complete, and a reset that met a
  // response which waited for its client ended the process.
  for (const [when, resetMs] of Object.entries(RESETS)) {
    for (const [pace, stopMs] of Object.entries(PACES)) {
      it(`is not complete after a reset ${when}, to a client ${pace}`, async () => {
        await start((id, socket) => {
          const bodyBytes = BODY_BYTES[Number(id) % BODY_BYTES.length]!;
          socket.write(head(id) + "a".repeat(bodyBytes));
          setTimeout(() => socket.resetAndDestroy(), resetMs);
        });
        const responses = await Promise.all(
          PATHS.flatMap((path, row) =>
            BODY_BYTES.map((_, column) =>
              upload({
                path,
                id: `${row * BODY_BYTES.length + column}`,
                stopMs,
              })
            )
          ),
        );
        for (const { status, isComplete } of responses) {
          expect(status === 200 && isComplete).to.equal(false);
        }
      });
    }
  }

  /** Writes to a client that does not read until the node stops parsing. */
  async function writeUntilPaused(socket: net.Socket): Promise<number> {
    const part = "a".repeat(WRITE_BYTES);
    let written = 0;
    while (connector.socket?.readableLength === 0) {
      socket.write(part);
      written += part.length;
      await sleep(WRITE_INTERVAL_MS);
    }
    return written;
  }

  // Only a node that has stopped parsing, but not reading, hears of the reset.
  it("ends no process when it is reset while the node waits for the client", async () => {
    await start((id, socket) => {
      socket.write(head(id));
      void writeUntilPaused(socket).then(() => socket.resetAndDestroy());
    });
    const { isComplete } = await upload({
      path: "/unsafe/",
      id: "1",
      stopMs: Number.POSITIVE_INFINITY,
    });
    expect(isComplete).to.equal(false);
  });

  it("is complete once the endpoint has ended it, also to a slow client", async () => {
    const [, bodyBytes] = BODY_BYTES;
    await start((id, socket) => {
      socket.end(head(id) + "a".repeat(bodyBytes!));
      socket.resume();
    });
    const { status, isComplete, body } = await upload({
      path: "/unsafe/",
      id: "1",
      stopMs: 700,
    });
    expect({ status, isComplete, bytes: body.length })
      .to.deep.equal({ status: 200, isComplete: true, bytes: bodyBytes });
  });

  // A response whose status is none was passed on.
  for (const status of ODD_STATUSES) {
    it(`is not passed on with status ${status}`, async () => {
      await start((id, socket) => {
        socket.write(`${head(id, status)}part`);
        socket.end();
      });
      const responses = await Promise.all(
        PATHS.map((path, index) => upload({ path, id: `${index}` })),
      );
      expect(responses.map((res) => res.status)).to.deep.equal([502, 502, 502]);
      expect(responses.some(({ body }) => body.includes("part")))
        .to.equal(false);
      expect(endpoint.ids).to.have.members(["0", "1", "2"]);
    });
  }
});
