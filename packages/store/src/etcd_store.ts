import { create } from "@bufbuild/protobuf";
import {
  type Client,
  Code,
  ConnectError,
  createClient,
} from "@connectrpc/connect";
import {
  createGrpcTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { RouterError } from "@limpetshed/errors";
import {
  type Compare,
  Compare_CompareResult,
  Compare_CompareTarget,
  CompareSchema,
  Event_EventType,
  type KeyValue,
  KV,
  Lease,
  type RequestOp,
  RequestOpSchema,
  Watch,
  WatchRequestSchema,
} from "./generated/etcd/etcd_pb.ts";
import {
  Store,
  type StoreChange,
  type StoreCondition,
  type StoreEntry,
  type StoreLease,
  type StoreTransaction,
  type StoreTransactionResult,
  type StoreWrite,
} from "./store.ts";

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const MS_PER_SECOND = 1_000;

/** Options of {@linkcode EtcdStore}. */
export interface EtcdStoreOptions {
  /** Base URL, such as `http://127.0.0.1:2379`. */
  url: string;
  /** Timeout of each call except watches, in milliseconds. */
  timeoutMs?: number;
}

/** {@linkcode Store} backed by the etcd v3 gRPC API. */
export class EtcdStore extends Store {
  readonly #sessions: Http2SessionManager;
  readonly #kv: Client<typeof KV>;
  readonly #lease: Client<typeof Lease>;
  readonly #watch: Client<typeof Watch>;
  readonly #timeoutMs: number;

  constructor({ url, timeoutMs = 2_000 }: EtcdStoreOptions) {
    super();
    this.#timeoutMs = timeoutMs;
    this.#sessions = new Http2SessionManager(url);
    const transport = createGrpcTransport({
      baseUrl: url,
      sessionManager: this.#sessions,
    });
    this.#kv = createClient(KV, transport);
    this.#lease = createClient(Lease, transport);
    this.#watch = createClient(Watch, transport);
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    const res = await this.#read(() =>
      this.#kv.range({ key: encoder.encode(key) }, this.#callOptions())
    );
    return res.kvs.map(toEntry)[0];
  }

  async list(prefix: string): Promise<StoreEntry[]> {
    const key = encoder.encode(prefix);
    const res = await this.#read(() =>
      this.#kv.range({ key, rangeEnd: prefixEnd(key) }, this.#callOptions())
    );
    return res.kvs.map(toEntry);
  }

  async transact(txn: StoreTransaction): Promise<StoreTransactionResult> {
    const req = {
      compare: txn.conditions.map(toCompare),
      success: txn.writes.map(toRequestOp),
      failure: (txn.readOnFailure ?? []).map(toReadOp),
    };
    const res = await this.#write(() => this.#kv.txn(req, this.#callOptions()));
    const entries = res.responses.flatMap((op) =>
      op.response.case === "responseRange" ? op.response.value.kvs : []
    );
    return {
      succeeded: res.succeeded,
      revision: res.header?.revision ?? 0n,
      entries: entries.map(toEntry),
    };
  }

  async grantLease(ttlMs: number): Promise<StoreLease> {
    const ttl = BigInt(Math.max(1, Math.ceil(ttlMs / MS_PER_SECOND)));
    const res = await this.#write(() =>
      this.#lease.leaseGrant({ TTL: ttl }, this.#callOptions())
    );
    return { id: res.ID, ttlMs: Number(res.TTL) * MS_PER_SECOND };
  }

  async keepAlive(id: bigint): Promise<boolean> {
    return await this.#write(async () => {
      async function* requests() {
        yield { ID: id };
      }
      const responses = this.#lease.leaseKeepAlive(
        requests(),
        this.#callOptions(),
      );
      for await (const res of responses) {
        return res.TTL > 0n;
      }
      return false;
    });
  }

  async revokeLease(id: bigint): Promise<void> {
    await this.#write(() =>
      this.#lease.leaseRevoke({ ID: id }, this.#callOptions())
    );
  }

  async *watch(
    key: string,
    { signal, onOpen }: { signal: AbortSignal; onOpen?: () => void },
  ): AsyncIterable<StoreChange> {
    const stopped = new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    async function* requests() {
      yield create(WatchRequestSchema, {
        requestUnion: {
          case: "createRequest",
          value: { key: encoder.encode(key) },
        },
      });
      await stopped;
    }
    try {
      for await (const res of this.#watch.watch(requests(), { signal })) {
        if (res.created) {
          onOpen?.();
        }
        if (res.canceled) {
          throw new RouterError("store_unavailable", "watch cancelled");
        }
        yield* res.events.flatMap((event) =>
          event.kv === undefined ? [] : [toChange(event.kv, event.type)]
        );
      }
    } catch (err) {
      if (!signal.aborted) {
        throw storeUnavailable(err);
      }
    }
  }

  close(): Promise<void> {
    this.#sessions.abort();
    return Promise.resolve();
  }

  #callOptions(): { timeoutMs: number } {
    return { timeoutMs: this.#timeoutMs };
  }

  async #read<T>(call: () => Promise<T>): Promise<T> {
    try {
      return await call();
    } catch (err) {
      throw storeUnavailable(err);
    }
  }

  async #write<T>(call: () => Promise<T>): Promise<T> {
    try {
      return await call();
    } catch (err) {
      if (isCertainlyNotApplied(err)) {
        throw storeUnavailable(err);
      }
      throw new RouterError(
        "store_outcome_unknown",
        "the store's answer to a write did not arrive",
        { cause: err },
      );
    }
  }
}

function storeUnavailable(err: unknown): RouterError {
  return new RouterError("store_unavailable", "the store does not answer", {
    cause: err,
  });
}

/**
 * Whether a failed write certainly had no effect: the store rejected it by its
 * rate limit, or the connection was refused.
 */
function isCertainlyNotApplied(err: unknown): boolean {
  const connectErr = ConnectError.from(err);
  if (connectErr.code === Code.ResourceExhausted) {
    return true;
  }
  const cause = connectErr.cause as { code?: string } | undefined;
  return cause?.code === "ECONNREFUSED";
}

function toEntry(kv: KeyValue): StoreEntry {
  return {
    key: decoder.decode(kv.key),
    value: kv.value,
    modRevision: kv.modRevision,
    leaseId: kv.lease,
  };
}

function toChange(kv: KeyValue, type: Event_EventType): StoreChange {
  return {
    key: decoder.decode(kv.key),
    value: type === Event_EventType.DELETE ? undefined : kv.value,
    modRevision: kv.modRevision,
  };
}

function toCompare(condition: StoreCondition): Compare {
  const modRevision = condition.kind === "absent" ? 0n : condition.modRevision;
  return create(CompareSchema, {
    result: Compare_CompareResult.EQUAL,
    target: Compare_CompareTarget.MOD,
    key: encoder.encode(condition.key),
    targetUnion: { case: "modRevision", value: modRevision },
  });
}

function toRequestOp(write: StoreWrite): RequestOp {
  const key = encoder.encode(write.key);
  if (write.kind === "delete") {
    return create(RequestOpSchema, {
      request: { case: "requestDeleteRange", value: { key } },
    });
  }
  const lease = write.leaseId ?? 0n;
  return create(RequestOpSchema, {
    request: { case: "requestPut", value: { key, value: write.value, lease } },
  });
}

function toReadOp(key: string): RequestOp {
  return create(RequestOpSchema, {
    request: { case: "requestRange", value: { key: encoder.encode(key) } },
  });
}

/**
 * Returns the exclusive end of the range of keys that start with `prefix`. For
 * an empty or all-0xff prefix that is the zero byte, etcd's "no upper bound".
 */
function prefixEnd(prefix: Uint8Array): Uint8Array {
  const end = prefix.slice();
  for (let index = end.length - 1; index >= 0; index -= 1) {
    if (end[index]! < 0xff) {
      end[index] = end[index]! + 1;
      return end.slice(0, index + 1);
    }
  }
  return new Uint8Array([0]);
}
