import type { Buffer } from "node:buffer";
import * as net from "node:net";

/** A response as read from the wire. */
export interface RawResponse {
  status: number;
  /** Body without its framing. */
  body: string;
  /** Whether the response ended as HTTP says that a complete one ends. */
  isComplete: boolean;
}

/** Options of {@linkcode sendRawRequest}. */
export interface RawRequestOptions {
  path: string;
  method?: "POST" | "HEAD";
  /** HTTP version of the request. */
  version?: "1.0" | "1.1";
  connection?: "close" | "keep-alive";
  id?: string;
  /** Additional header lines, each with its CRLF. */
  headers?: string;
  body?: string;
  /** Called with the connection as soon as the first bytes have arrived. */
  onFirstBytes?: (socket: net.Socket) => void;
}

const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const MAX_PARSED_LENGTH = 65_536;

/** Sends a request and reads its response byte by byte, since HTTP libraries
 * differ in what they take for a complete response. */
export function sendRawRequest(
  address: string,
  {
    path,
    method = "POST",
    version = "1.1",
    connection = "keep-alive",
    id = "r1",
    headers = "",
    body = "hello",
    onFirstBytes = () => {},
  }: RawRequestOptions,
): Promise<RawResponse> {
  const [host, port] = address.split(":");
  const socket = net.connect({ host, port: Number(port) });
  socket.write(
    `${method} ${path} HTTP/${version}\r\nhost: 127.0.0.1\r\nauthorization: k\r\n` +
      `x-id: ${id}\r\nconnection: ${connection}\r\n${headers}` +
      `content-length: ${body.length}${HEAD_END}${body}`,
  );
  return new Promise((resolve) => {
    let text = "";
    let tail = "";
    let wasReset = false;
    const finish = (hasEnded: boolean) => {
      socket.destroy();
      resolve(
        parseResponse(text, { hasEnded: hasEnded && !wasReset, method }),
      );
    };
    socket.once("data", () => onFirstBytes(socket));
    socket.on("data", (chunk: Buffer) => {
      const part = chunk.toString("latin1");
      text += part;
      tail = (tail + part).slice(-LAST_CHUNK.length);
      // Parsing a large response anew for each read would take long.
      const mayBeComplete = text.length < MAX_PARSED_LENGTH ||
        tail === LAST_CHUNK;
      if (
        mayBeComplete &&
        parseResponse(text, { hasEnded: false, method }).isComplete
      ) {
        finish(false);
      }
    });
    socket.on("error", () => {
      wasReset = true;
    });
    socket.on("end", () => {
      // Node.js reports a reset directly after data as an orderly end. Only
      // after a reset has the socket lost its remote address.
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.on("close", () => finish(true));
  });
}

function parseResponse(
  text: string,
  { hasEnded, method }: { hasEnded: boolean; method: string },
): RawResponse {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return { status: 0, body: "", isComplete: false };
  }
  const head = text.slice(0, headEnd).toLowerCase();
  const status = Number(head.split(" ")[1]);
  const rest = text.slice(headEnd + HEAD_END.length);
  if (method === "HEAD") {
    return { status, body: rest, isComplete: true };
  }
  if (/\r\ntransfer-encoding: chunked/.test(head)) {
    return { status, ...parseChunks(rest) };
  }
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  return {
    status,
    body: rest,
    isComplete: length === undefined ? hasEnded : rest.length >= Number(length),
  };
}

function parseChunks(text: string): { body: string; isComplete: boolean } {
  let body = "";
  let position = 0;
  for (;;) {
    const sizeEnd = text.indexOf("\r\n", position);
    const size = Number.parseInt(text.slice(position, sizeEnd), 16);
    const dataEnd = sizeEnd + 2 + size;
    if (sizeEnd < 0 || text.length < dataEnd + 2) {
      return { body, isComplete: false };
    }
    body += text.slice(sizeEnd + 2, dataEnd);
    position = dataEnd + 2;
    if (size === 0) {
      return { body, isComplete: true };
    }
  }
}
