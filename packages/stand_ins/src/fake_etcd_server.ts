import * as http2 from "node:http2";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { AsyncQueue, type Clock, listenOn, sleep } from "@limpetshed/base";
import { etcd, type StoreChange, type StoreEntry } from "@limpetshed/store";
import type { KvEngine } from "./kv_engine.ts";
import { type KvFaults, noKvFaults } from "./kv_faults.ts";
import { toStoreTransaction } from "./to_store_transaction.ts";

const MS_PER_SECOND = 1_000;
const decoder = new TextDecoder();
const encoder = new TextEncoder();

/** Options of {@linkcode FakeEtcdServer}. */
export interface FakeEtcdServerOptions {
  engine: KvEngine;
  clock: Clock;
  faults?: KvFaults;
}

/** Serves a {@linkcode KvEngine} over the etcd v3 gRPC API on loopback. */
export class FakeEtcdServer {
  readonly faults: KvFaults;
  readonly #engine: KvEngine;
  readonly #clock: Clock;
  readonly #server: http2.Http2Server;
  readonly #sessions = new Set<http2.ServerHttp2Session>();
  readonly #callsByMethod = new Map<string, number>();

  constructor({ engine, clock, faults = noKvFaults() }: FakeEtcdServerOptions) {
    this.#engine = engine;
    this.#clock = clock;
    this.faults = faults;
    this.#server = http2.createServer(
      connectNodeAdapter({
        routes: (router) => this.#registerServices(router),
      }),
    );
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
    });
  }

  /** Starts listening; returns the base URL. */
  async listen(port = 0): Promise<string> {
    return `http://${await listenOn(this.#server, `127.0.0.1:${port}`)}`;
  }

  /** Number of calls received, by method; a watch counts as one. */
  get calls(): Record<string, number> {
    return Object.fromEntries(this.#callsByMethod);
  }

  /** Destroys all open connections, including those of watches. */
  breakConnections(): void {
    for (const session of this.#sessions) {
      session.destroy();
    }
  }

  /** Stops the server. */
  async close(): Promise<void> {
    this.#engine.close();
    this.breakConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #registerServices(router: ConnectRouter): void {
    router.service(etcd.KV, {
      range: (req) => this.#respond("range", "read", () => this.#range(req)),
      put: (req) => this.#respond("put", "write", () => this.#put(req)),
      txn: (req) => this.#respond("txn", "write", () => this.#txn(req)),
    });
    router.service(etcd.Lease, {
      leaseGrant: (req) =>
        this.#respond("lease_grant", "write", () => ({
          header: this.#header(),
          ID: this.#engine.grantLease(Number(req.TTL) * MS_PER_SECOND),
          TTL: req.TTL,
        })),
      leaseRevoke: (req) =>
        this.#respond("lease_revoke", "write", () => {
          this.#engine.endLease(req.ID);
          return { header: this.#header() };
        }),
      leaseKeepAlive: (requests) => this.#keepAlive(requests),
    });
    router.service(etcd.Watch, {
      watch: (requests, context) => this.#watch(requests, context.signal),
    });
  }

  #range(req: etcd.RangeRequest) {
    const key = decoder.decode(req.key);
    const entries = req.rangeEnd.length === 0
      ? [this.#engine.get(key)].flatMap((entry) => entry ?? [])
      : this.#engine.range(key, decoder.decode(req.rangeEnd));
    return {
      header: this.#header(),
      kvs: entries.map(toKeyValue),
      count: BigInt(entries.length),
    };
  }

  #put(req: etcd.PutRequest) {
    const key = decoder.decode(req.key);
    const { value, lease: leaseId } = req;
    this.#engine.transact({
      conditions: [],
      writes: [{ kind: "put", key, value, leaseId }],
    });
    return { header: this.#header() };
  }

  #txn(req: etcd.TxnRequest) {
    const result = this.#engine.transact(toStoreTransaction(req));
    const ops = result.succeeded ? req.success : req.failure;
    return {
      header: this.#header(),
      succeeded: result.succeeded,
      responses: ops.map((op) =>
        create(etcd.ResponseOpSchema, {
          response: op.request.case === "requestRange"
            ? { case: "responseRange", value: this.#range(op.request.value) }
            : { case: "responsePut", value: {} },
        })
      ),
    };
  }

  async *#keepAlive(requests: AsyncIterable<etcd.LeaseKeepAliveRequest>) {
    for await (const req of requests) {
      yield await this.#respond("lease_keep_alive", "write", () => ({
        header: this.#header(),
        ID: req.ID,
        TTL: BigInt(Math.ceil(this.#engine.keepAlive(req.ID) / MS_PER_SECOND)),
      }));
    }
  }

  async *#watch(
    requests: AsyncIterable<etcd.WatchRequest>,
    signal: AbortSignal,
  ) {
    this.#countCall("watch");
    const queue = new AsyncQueue<StoreChange>();
    const unwatchCallbacks: (() => void)[] = [];
    signal.addEventListener("abort", () => queue.close());
    void (async () => {
      for await (const { requestUnion } of requests) {
        if (requestUnion.case === "createRequest") {
          const key = decoder.decode(requestUnion.value.key);
          unwatchCallbacks.push(
            this.#engine.watch(key, (change) => queue.push(change)),
          );
        }
      }
      queue.close();
    })().catch(() => queue.close());
    try {
      yield { created: true, header: this.#header() };
      for await (const change of queue) {
        if (this.faults.down) {
          throw new ConnectError("store is down", Code.Unavailable);
        }
        yield { header: this.#header(), events: [toEvent(change)] };
      }
    } finally {
      unwatchCallbacks.forEach((unwatch) => unwatch());
    }
  }

  async #respond<T>(
    method: string,
    kind: "read" | "write",
    action: () => T,
  ): Promise<T> {
    this.#countCall(method);
    if (this.faults.delayMs > 0) {
      await sleep(this.#clock, this.faults.delayMs);
    }
    const fault = this.faults.down ? "down" : this.faults.choose(kind);
    switch (fault) {
      case "none":
        return action();
      case "down":
        throw new ConnectError("store is down", Code.Unavailable);
      case "rate_limited":
        throw new ConnectError("rate limit exceeded", Code.ResourceExhausted);
      case "answer_lost":
        action();
        throw new ConnectError("response lost", Code.Unavailable);
      case "late_effect":
        this.#clock.setTimer(
          this.faults.lateEffectDelayMs,
          () => void action(),
        );
        throw new ConnectError("response lost", Code.Unavailable);
    }
  }

  #countCall(method: string): void {
    this.#callsByMethod.set(method, (this.#callsByMethod.get(method) ?? 0) + 1);
  }

  #header(): etcd.ResponseHeader {
    return create(etcd.ResponseHeaderSchema, {
      revision: this.#engine.revision,
    });
  }
}

function toKeyValue(entry: StoreEntry): etcd.KeyValue {
  return create(etcd.KeyValueSchema, {
    key: encoder.encode(entry.key),
    value: entry.value,
    modRevision: entry.modRevision,
    lease: entry.leaseId,
  });
}

function toEvent(change: StoreChange) {
  const deleted = change.value === undefined;
  return {
    type: deleted ? etcd.Event_EventType.DELETE : etcd.Event_EventType.PUT,
    kv: {
      key: encoder.encode(change.key),
      value: change.value ?? new Uint8Array(),
      modRevision: change.modRevision,
    },
  };
}
