// Stand-in for the platform's metadata store: one revision counter, leases,
// watches. It can be down (calls get no response), and come back from a copy.
import { Buffer } from "node:buffer";
import * as http from "node:http";

const PAGE_ITEMS = 500;

export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #nextLease = 1;
  #waiters = new Set();
  #isDown = false;
  #era = 1;
  #server;

  listen(host) {
    this.#server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("end", () => void this.#answer(req, res, Buffer.concat(chunks)));
    });
    return new Promise((resolve) => {
      this.#server.listen(0, host, () => {
        resolve(`${host}:${this.#server.address().port}`);
      });
    });
  }

  close() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Calls get no response from now on. */
  goDown() {
    this.#isDown = true;
  }

  /** A copy of all that it holds now. */
  copy() {
    return {
      items: new Map(this.#items),
      leases: new Map(
        [...this.#leases].map(([id, { ttlMs }]) => [id, ttlMs]),
      ),
      history: [...this.#history],
      revision: this.#revision,
      nextLease: this.#nextLease,
    };
  }

  /** Comes back from a copy: what was written since is gone, leases too. Revisions
   * and leases are given out again, and a new era begins. */
  comeBackFrom({ items, leases, history, revision, nextLease }) {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#leases.clear();
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#nextLease = nextLease;
    for (const [id, ttlMs] of leases) {
      this.#leases.set(id, { ttlMs, timer: undefined });
      this.#renew(id);
    }
    this.#era += 1;
    this.#isDown = false;
    [...this.#waiters].forEach((notify) => notify());
  }

  get isDown() {
    return this.#isDown;
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** The key under `prefix` that was written last. */
  lastWritten(prefix) {
    return this.#history.findLast(({ key, deleted }) =>
      !deleted && key.startsWith(prefix)
    )?.key;
  }

  /** Writes as the operator or a worker does. */
  put(key, value) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#write(key, Buffer.from(text).toString("base64"), 0);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, deleted: true });
    }
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#record(item);
  }

  #record(change) {
    this.#history.push(change);
    [...this.#waiters].forEach((notify) => notify());
  }

  #expire(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) {
        this.remove(item.key);
      }
    }
  }

  async #answer(req, res, body) {
    if (this.#isDown) {
      return;
    }
    const url = new URL(req.url, "http://store");
    const fields = body.length === 0 ? {} : JSON.parse(body.toString());
    const era = this.#era;
    const [status, answer] = await this.#route(url, fields);
    if (this.#isDown) {
      return;
    }
    res.writeHead(era === this.#era ? status : 410, {
      "content-type": "application/json",
      "store-era": String(this.#era),
    });
    res.end(JSON.stringify(answer));
  }

  #route({ pathname, searchParams: query }, fields) {
    const [, call, id] = pathname.split("/");
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.get("key"));
        return item === undefined
          ? [404, {}]
          : [200, { ...item, as_of: this.#revision }];
      }
      case "kv-range":
        return [200, this.#range(query)];
      case "kv-watch":
        return this.#watch(query);
      case "kv-lease":
        return [200, this.#grant(Number(fields.ttl_ms))];
      case "kv-keep":
        return this.#renew(Number(id));
      case "kv-lease-end":
        this.#expire(Number(id));
        return [200, {}];
      case "kv-txn":
        return this.#transact(fields);
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
      items: items.slice(0, PAGE_ITEMS),
      has_more: items.length > PAGE_ITEMS,
      as_of: this.#revision,
    };
  }

  async #watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after > this.#revision) {
      return [410, {}];
    }
    const changes = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    if (changes().length === 0) {
      await new Promise((resolve) => {
        const notify = () => {
          clearTimeout(timer);
          this.#waiters.delete(notify);
          resolve();
        };
        const timer = setTimeout(notify, Number(query.get("wait_ms")));
        this.#waiters.add(notify);
      });
    }
    return [200, { events: changes(), as_of: this.#revision }];
  }

  #grant(ttlMs) {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs, timer: undefined });
    this.#renew(lease);
    return { lease, ttl_ms: ttlMs };
  }

  #renew(lease) {
    const found = this.#leases.get(lease);
    if (found === undefined) {
      return [404, {}];
    }
    clearTimeout(found.timer);
    found.timer = setTimeout(() => this.#expire(lease), found.ttlMs);
    return [200, { ttl_ms: found.ttlMs }];
  }

  #transact({ expect = [], puts = [], remove = [] }) {
    if (puts.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      return [404, {}];
    }
    const holds = expect.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      return [412, {
        items: expect.flatMap(({ key }) => this.#items.get(key) ?? []),
      }];
    }
    puts.forEach(({ key, value, lease }) => this.#write(key, value, lease));
    remove.forEach((key) => this.remove(key));
    return [200, { revision: this.#revision }];
  }
}
