import { Buffer } from "node:buffer";

/**
 * Reads a stream to its end.
 *
 * @param onProgress Called with each chunk that arrives.
 * @throws Error if the stream exceeds `maxBytes`; the rest is not read.
 */
export async function readStream(
  stream: AsyncIterable<Uint8Array>,
  { maxBytes, onProgress = () => {} }: {
    maxBytes: number;
    onProgress?: () => void;
  },
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  // Leaving the loop destroys the stream.
  for await (const chunk of stream) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new Error(`the response is larger than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
    onProgress();
  }
  return Buffer.concat(chunks);
}
