// Stand-in for the platform's store, as the platform's pages describe it: items
// with revisions, watches, leases, and the header with the store's era.
import { Buffer } from "node:buffer";
import * as http from "node:http";

const MAX_ITEMS_PER_PAGE = 500;
const ANSWER_DELAY_MS = 4;

/** An in-memory key-value store that speaks the platform's protocol. */
export class Store {
  /** Calls received so far. */
  callCount = 0;
  #server = undefined;
  #address = undefined;
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #nextLease = 1000;
  #era = 1;
  #watchers = new Set();

  /** Listens on `ip`; returns `ip:port`. */
  async listen(ip, port = 0) {
    this.#server = http.createServer((req, res) => {
      this.#handle(req, res).catch((err) => res.destroy(err));
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, resolve);
    });
    this.#address = { ip, port: this.#server.address().port };
    return `${ip}:${this.#address.port}`;
  }

  get revision() {
    return this.#revision;
  }

  get era() {
    return this.#era;
  }

  /** Keys that begin with `prefix`. */
  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** The value of a key; undefined if there is none. */
  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Writes a key as the operator and the workers do; returns the revision. */
  put(key, value) {
    return this.#put(key, Buffer.from(JSON.stringify(value)), 0);
  }

  /** Removes a key. */
  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, deleted: true });
    }
  }

  /** Stops answering: connections are reset and new ones refused. */
  goAway() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Answers again at the same address. */
  async comeBack() {
    await this.listen(this.#address.ip, this.#address.port);
  }

  /** Ends all leases, with their keys. */
  endAllLeases() {
    for (const id of [...this.#leases.keys()]) {
      this.#endLease(id);
    }
  }

  /** Returns a copy of all that the store holds. */
  copy() {
    return {
      items: new Map(this.#items),
      history: [...this.#history],
      revision: this.#revision,
      leases: new Map([...this.#leases].map(([id, { ttlMs }]) => [id, ttlMs])),
    };
  }

  /** Replaces all that the store holds by a copy; a new era begins. */
  restore({ items, history, revision, leases }) {
    for (const { timer } of this.#leases.values()) {
      clearTimeout(timer);
    }
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#leases = new Map();
    for (const [id, ttlMs] of leases) {
      this.#startLease(id, ttlMs);
    }
    this.#era += 1;
  }

  close() {
    for (const { timer } of this.#leases.values()) {
      clearTimeout(timer);
    }
    this.goAway();
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const item = {
      key,
      value: value.toString("base64"),
      revision: this.#revision,
      created: this.#items.get(key)?.created ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#record(item);
    return this.#revision;
  }

  #record(change) {
    this.#history.push(change);
    [...this.#watchers].forEach((notify) => notify());
  }

  async #handle(req, res) {
    this.callCount += 1;
    const url = new URL(req.url, "http://store");
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const [status, body] = await this.#route(
      req.method,
      url,
      text === "" ? {} : JSON.parse(text),
    );
    setTimeout(() => {
      res.writeHead(status, {
        "content-type": "application/json",
        "store-era": String(this.#era),
      });
      res.end(JSON.stringify(body));
    }, ANSWER_DELAY_MS);
  }

  async #route(method, { pathname, searchParams }, body) {
    const [, call, id] = pathname.split("/");
    switch (`${method} ${call}`) {
      case "GET kv-key": {
        const item = this.#items.get(searchParams.get("key"));
        return item === undefined
          ? [404, {}]
          : [200, { ...item, as_of: this.#revision }];
      }
      case "GET kv-range":
        return [200, this.#range(searchParams)];
      case "GET kv-watch":
        return await this.#watch(searchParams);
      case "POST kv-lease": {
        this.#nextLease += 1;
        this.#startLease(this.#nextLease, body.ttl_ms);
        return [200, { lease: this.#nextLease, ttl_ms: body.ttl_ms }];
      }
      case "POST kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) {
          return [404, {}];
        }
        clearTimeout(lease.timer);
        this.#startLease(Number(id), lease.ttlMs);
        return [200, { ttl_ms: lease.ttlMs }];
      }
      case "DELETE kv-lease-end":
        this.#endLease(Number(id));
        return [200, {}];
      case "POST kv-txn":
        return this.#transact(body);
      default:
        return [404, {}];
    }
  }

  #range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: items.slice(0, MAX_ITEMS_PER_PAGE),
      has_more: items.length > MAX_ITEMS_PER_PAGE,
      as_of: this.#revision,
    };
  }

  async #watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after > this.#revision) {
      return [410, {}];
    }
    const find = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    if (find().length === 0) {
      await this.#waitForChange(Number(query.get("wait_ms")));
    }
    return [200, { events: find(), as_of: this.#revision }];
  }

  #waitForChange(ms) {
    return new Promise((resolve) => {
      const notify = () => {
        clearTimeout(timer);
        this.#watchers.delete(notify);
        resolve();
      };
      const timer = setTimeout(notify, ms);
      this.#watchers.add(notify);
    });
  }

  #startLease(id, ttlMs) {
    const timer = setTimeout(() => this.#endLease(id), ttlMs);
    this.#leases.set(id, { ttlMs, timer });
  }

  #endLease(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    [...this.#items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.remove(key));
  }

  #transact({ expect = [], puts = [], remove = [] }) {
    const failed = expect.some(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    if (failed) {
      const items = expect.flatMap(({ key }) => this.#items.get(key) ?? []);
      return [412, { items }];
    }
    if (puts.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) {
      return [404, {}];
    }
    for (const { key, value, lease } of puts) {
      this.#put(key, Buffer.from(value, "base64"), lease ?? 0);
    }
    remove.forEach((key) => this.remove(key));
    return [200, { revision: this.#revision }];
  }
}
