import { Buffer } from "node:buffer";
import { PassThrough } from "node:stream";
import { expect } from "chai";
import { describe, it } from "mocha";
import { errorText } from "../src/error_text.ts";
import { readStream } from "../src/read_stream.ts";

const read = (stream: PassThrough, maxBytes = 100) =>
  readStream(stream, { maxBytes }).then(
    (data) => data.toString(),
    (err: unknown) => errorText(err),
  );

describe("readStream", () => {
  it("joins what arrives", async () => {
    const stream = new PassThrough();
    const result = read(stream);
    stream.write("ab");
    stream.end("cd");
    expect(await result).to.equal("abcd");
  });

  it("reports each chunk", async () => {
    const stream = new PassThrough();
    let count = 0;
    const result = readStream(stream, {
      maxBytes: 10,
      onProgress: () => count += 1,
    });
    stream.write("ab");
    await new Promise(setImmediate);
    stream.end("cd");
    await result;
    expect(count).to.equal(2);
  });

  it("destroys a stream that is too large", async () => {
    const stream = new PassThrough();
    const result = read(stream, 3);
    stream.write(Buffer.alloc(4));
    expect(await result).to.match(/larger than 3 bytes/);
    expect(stream.destroyed).to.equal(true);
  });

  it("fails if the stream fails or is closed before its end", async () => {
    const failing = new PassThrough();
    const closed = new PassThrough();
    const results = Promise.all([read(failing), read(closed)]);
    failing.destroy(new Error("reset"));
    closed.destroy();
    expect(await results).to.deep.equal([
      "reset",
      "the stream was closed before its end",
    ]);
  });
});
