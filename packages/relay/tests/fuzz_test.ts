import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture, respond } from "./relay_fixture.ts";

const API_KEY = "k";
const REQUEST = [
  "POST /unsafe/a HTTP/1.1",
  "x-id: r1",
  "host: 127.0.0.1",
  "content-type: text/plain",
  `authorization: ${API_KEY}`,
  "content-length: 5",
  "",
  "hello",
].join("\r\n");

const RESPONSE = [
  "HTTP/1.1 200 OK",
  "x-id: r1",
  "x-signed: 1",
  "content-length: 12",
  "",
  "whole answer",
].join("\r\n");

/** Byte sequences that are significant to an HTTP parser, and random ones. */
const FRAGMENTS = fc.oneof(
  fc.constantFrom(
    "\r\n",
    "\n",
    "\r\n\r\n",
    ":",
    " ",
    "0",
    "-1",
    "\0",
    "transfer-encoding: chunked\r\n",
    "content-length: 3\r\n",
    "connection: close\r\n",
    "expect: 100-continue\r\n",
    "HTTP/1.1 103 Early\r\n\r\n",
    "5\r\nhello\r\n0\r\n\r\n",
  ).map((text) => Buffer.from(text)),
  fc.uint8Array({ maxLength: 12 }).map((bytes) => Buffer.from(bytes)),
);

/** Replaces up to three ranges of `text` with fragments. */
function corrupt(text: string): fc.Arbitrary<Buffer> {
  const edit = fc.record({
    at: fc.nat({ max: text.length }),
    drop: fc.nat({ max: 8 }),
    fragment: FRAGMENTS,
  });
  return fc.array(edit, { minLength: 1, maxLength: 3 }).map((edits) =>
    edits.reduce(
      (bytes, { at, drop, fragment }) =>
        Buffer.concat([
          bytes.subarray(0, at),
          fragment,
          bytes.subarray(at + drop),
        ]),
      Buffer.from(text),
    )
  );
}

/** Few runs, since each uses real connections. */
const FUZZ_OPTIONS = { numRuns: 150 };

describe("relay given malformed bytes", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  it("responds with valid HTTP or closes, and keeps serving", async () => {
    await fixture.start(respond);
    const check = async (bytes: Buffer) => {
      const response = await fixture.sendRaw(bytes, { halfClose: true });
      expect(
        response === "" || /^HTTP\/1\.1 [1-5]\d\d /.test(response),
        response,
      ).to.equal(
        true,
      );
    };
    await fc.assert(fc.asyncProperty(corrupt(REQUEST), check), FUZZ_OPTIONS);
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
        check,
      ),
      FUZZ_OPTIONS,
    );
    expect((await fixture.send("/safe/")).status).to.equal(200);
    expect(fixture.node.inFlight).to.equal(0);
  });

  it("relays only complete responses of an endpoint", async () => {
    let bytes: Buffer = Buffer.alloc(0);
    await fixture.start((_request, _res, socket) => void socket.end(bytes));
    await fc.assert(
      fc.asyncProperty(corrupt(RESPONSE), async (next) => {
        bytes = next;
        const response = await fixture.send("/unsafe/").catch(() => undefined);
        if (response?.isComplete === true && response.status === 200) {
          const text = bytes.toString("latin1");
          expect(text).to.match(/x-signed/i);
          // A response without an id is accepted only on a connection that has
          // carried no earlier request.
          expect(response.headers["x-id"] ?? "r1").to.equal("r1");
          expect(bytes.includes(response.bytes)).to.equal(true);
        }
      }),
      FUZZ_OPTIONS,
    );
    fixture.endpoints[0]!.handler = respond;
    expect((await fixture.send("/safe/")).status).to.equal(200);
    expect(fixture.node.inFlight).to.equal(0);
  });

  it("does not log API keys", async () => {
    const secret = "secret-key-of-acme";
    await fixture.start(respond);
    const text = REQUEST.replace(`: ${API_KEY}`, `: ${secret}`);
    await fc.assert(
      fc.asyncProperty(corrupt(text), async (bytes) => {
        await fixture.sendRaw(bytes, { halfClose: true });
      }),
      FUZZ_OPTIONS,
    );
    expect(fixture.logLines.length).to.be.above(0);
    expect(fixture.logLines.join("")).to.not.contain(secret);
  });
});
