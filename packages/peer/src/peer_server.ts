import * as http2 from "node:http2";
import type { Socket } from "node:net";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type HandlerContext } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { AsyncQueue, listenOn } from "@limpetshed/base";
import { toRouterError } from "@limpetshed/errors";
import type { Metrics } from "@limpetshed/observe";
import {
  type Frame,
  FrameSchema,
  PeerService,
} from "./generated/limpetshed/peer/v1/peer_pb.ts";
import {
  PEER_KEY_HEADER,
  type PeerCredentials,
  secretsEqual,
} from "./peer_credentials.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import type { SocketByteCounter } from "./socket_byte_counter.ts";

/** Options of {@linkcode PeerServer}. */
export interface PeerServerOptions {
  handlers: PeerHandlers;
  /** The key is read for each link, TLS at construction and on reload. */
  credentials: () => PeerCredentials;
  metrics: Metrics;
  meter: SocketByteCounter;
}

const MAX_FRAME_BYTES = 4 * 1_048_576;

/** Serves requests from peers that present the shared secret. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: http2.Http2Server | http2.Http2SecureServer;
  readonly #sessions = new Set<http2.ServerHttp2Session>();

  constructor(options: PeerServerOptions) {
    this.#options = options;
    const adapter = connectNodeAdapter({
      readMaxBytes: MAX_FRAME_BYTES,
      routes: (router) => {
        router.service(PeerService, {
          link: (frames, context) => this.#serveLink(frames, context),
        });
      },
    });
    const { tls } = options.credentials();
    this.#server = tls === undefined
      ? http2.createServer(adapter)
      : http2.createSecureServer({
        ...tls,
        requestCert: true,
        rejectUnauthorized: true,
      }, adapter);
    const event = tls === undefined ? "connection" : "secureConnection";
    this.#server.on(event, (socket: Socket) => options.meter.track(socket));
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
      session.on("error", () => undefined);
    });
  }

  /** Starts listening on `ip:port`; returns the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Applies the current TLS credentials to new connections. */
  reloadTls(): void {
    const { tls } = this.#options.credentials();
    if (tls !== undefined && "setSecureContext" in this.#server) {
      this.#server.setSecureContext(tls);
    }
  }

  /** Stops listening and closes all links. */
  async close(): Promise<void> {
    for (const session of this.#sessions) {
      session.destroy();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async *#serveLink(
    frames: AsyncIterable<Frame>,
    context: HandlerContext,
  ): AsyncIterable<Frame> {
    const presentedKey = context.requestHeader.get(PEER_KEY_HEADER) ?? "";
    if (!secretsEqual(presentedKey, this.#options.credentials().key)) {
      throw new ConnectError("wrong peer key", Code.Unauthenticated);
    }
    const responses = new AsyncQueue<Frame>();
    const reading = this.#readFrames(frames, responses);
    yield* responses;
    await reading;
  }

  async #readFrames(
    frames: AsyncIterable<Frame>,
    responses: AsyncQueue<Frame>,
  ): Promise<void> {
    const { metrics } = this.#options;
    try {
      for await (const frame of frames) {
        metrics.count("peer.frames_received");
        void this.#handleFrame(frame).then((response) => {
          metrics.count("peer.frames_sent");
          responses.push(response);
        });
      }
    } catch {
      // The peer disconnected; responses to requests in progress are dropped.
    } finally {
      responses.close();
    }
  }

  async #handleFrame({ id, body }: Frame): Promise<Frame> {
    try {
      if (body.case === undefined) {
        return failureFrame(id, "invalid_request");
      }
      const response = await this.#options.handlers.answer(body);
      return create(FrameSchema, { id, body: response });
    } catch (err) {
      return failureFrame(id, toRouterError(err).kind);
    }
  }
}

function failureFrame(id: bigint, kind: string): Frame {
  return create(FrameSchema, { id, body: { case: "failure", value: kind } });
}
