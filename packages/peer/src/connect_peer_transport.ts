import * as net from "node:net";
import * as tls from "node:tls";
import { type Client, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { type Clock, splitHostPort, withTimeout } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import type { Metrics } from "@limpetshed/observe";
import { PeerService } from "./generated/limpetshed/peer/v1/peer_pb.ts";
import { Link } from "./link.ts";
import type { FrameBody } from "./messages.ts";
import { PEER_KEY_HEADER, type PeerCredentials } from "./peer_credentials.ts";
import { PeerTransport } from "./peer_transport.ts";
import type { SocketByteCounter } from "./socket_byte_counter.ts";

/** Options of {@linkcode ConnectPeerTransport}. */
export interface ConnectPeerTransportOptions {
  clock: Clock;
  metrics: Metrics;
  /** Read for each new link, so that rotated credentials take effect. */
  credentials: () => PeerCredentials;
  meter: SocketByteCounter;
}

interface OpenLink {
  link: Link;
  sessions: Http2SessionManager;
}

const SESSION_OPTIONS = {
  idleConnectionTimeoutMs: 60_000,
};

/**
 * Sends requests to peers over one long-lived bidirectional Connect stream
 * per peer, opened on first use and again after it ends.
 */
export class ConnectPeerTransport extends PeerTransport {
  readonly #options: ConnectPeerTransportOptions;
  readonly #links = new Map<string, OpenLink>();
  #closed = false;

  constructor(options: ConnectPeerTransportOptions) {
    super();
    this.#options = options;
  }

  /** Number of peers with an open link. */
  get linkCount(): number {
    return this.#links.size;
  }

  async close(): Promise<void> {
    this.#closed = true;
    const openLinks = [...this.#links.values()];
    openLinks.forEach(({ link, sessions }) => {
      link.close();
      sessions.abort();
    });
    await Promise.all(openLinks.map(({ link }) => link.ended));
  }

  protected async exchange(
    address: string,
    body: FrameBody,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<FrameBody> {
    if (this.#closed) {
      throw new RouterError("peer_unreachable", "this node is closing");
    }
    const { link } = this.#openLink(address);
    const { id, answer } = link.request(body);
    try {
      return await withTimeout(this.#options.clock, answer, {
        ms: timeoutMs,
        onTimeout: () =>
          new RouterError("peer_unreachable", "the peer did not answer"),
      });
    } finally {
      link.removePending(id);
    }
  }

  #openLink(address: string): OpenLink {
    const existing = this.#links.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const { metrics } = this.#options;
    const credentials = this.#options.credentials();
    const { client, sessions } = this.#createPeerClient(address, credentials);
    const headers = { [PEER_KEY_HEADER]: credentials.key };
    const link = new Link({
      open: (outgoing) => client.link(outgoing, { headers }),
      onFrame: (direction) => metrics.count(`peer.frames_${direction}`),
    });
    const opened = { link, sessions };
    this.#links.set(address, opened);
    void link.ended.then(() => {
      sessions.abort();
      if (this.#links.get(address) === opened) {
        this.#links.delete(address);
      }
    });
    return opened;
  }

  #createPeerClient(address: string, { tls: peerTls }: PeerCredentials): {
    client: Client<typeof PeerService>;
    sessions: Http2SessionManager;
  } {
    const scheme = peerTls === undefined ? "http" : "https";
    const url = `${scheme}://${address}`;
    const { host, port } = splitHostPort(address);
    const sessions = new Http2SessionManager(url, SESSION_OPTIONS, {
      createConnection: () => {
        const socket = peerTls === undefined
          ? net.connect({ host, port, noDelay: true })
          : tls.connect({
            host,
            port,
            ca: peerTls.ca,
            cert: peerTls.cert,
            key: peerTls.key,
            ALPNProtocols: ["h2"],
            // Peers are authenticated by the fleet CA, not by host name.
            checkServerIdentity: () => undefined,
          });
        this.#options.meter.track(socket);
        return socket;
      },
    });
    const transport = createConnectTransport({
      httpVersion: "2",
      baseUrl: url,
      sessionManager: sessions,
    });
    return { client: createClient(PeerService, transport), sessions };
  }
}
