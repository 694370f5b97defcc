import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";

/**
 * Reads a stream to its end.
 *
 * @param onProgress Called with each chunk that arrives.
 * @throws Error if the stream exceeds `maxBytes`; the rest is not read.
 */
export function readStream(
  stream: Readable,
  { maxBytes, onProgress = () => {} }: {
    maxBytes: number;
    onProgress?: () => void;
  },
): Promise<Buffer> {
  // Listeners take a fraction of the time that an asynchronous iteration takes.
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    stream.on("data", (chunk: Uint8Array) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        stream.destroy(
          new Error(`the response is larger than ${maxBytes} bytes`),
        );
        return;
      }
      chunks.push(chunk);
      onProgress();
    });
    stream.once("end", () => resolve(Buffer.concat(chunks)));
    stream.on("error", reject);
    stream.once("close", () => {
      if (!stream.readableEnded) {
        reject(new Error("the stream was closed before its end"));
      }
    });
  });
}
