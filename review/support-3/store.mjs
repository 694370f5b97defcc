// Stand-in of the platform's store: the calls that PROTOCOL.md describes, without
// rate limits.
import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import { nextAddress } from "./platform.mjs";

const ANSWER_MS = 4;
const MAX_ITEMS = 500;

export class Store {
  /** While it is true, no call is answered or carried out. */
  isSilent = false;
  #items = new Map();
  #history = [];
  #leases = new Map();
  #watchers = new Set();
  #revision = 10;
  #nextLease = 1;
  #server = http.createServer((req, res) => void this.#handle(req, res));

  /** Resolves to `ip:port`. */
  async listen() {
    const ip = nextAddress();
    this.#server.listen(0, ip);
    await once(this.#server, "listening");
    return `${ip}:${this.#server.address().port}`;
  }

  /** Writes an entry as the operator or a worker; false if the store is down. */
  write(key, value) {
    if (!this.isSilent) {
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      this.#put(key, text, 0);
    }
    return !this.isSilent;
  }

  close() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    if (this.isSilent) {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url, "http://store");
    const [status, body] = await this.#call(
      url,
      text === "" ? {} : JSON.parse(text),
    );
    setTimeout(() => {
      if (!this.isSilent) {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
      }
    }, ANSWER_MS);
  }

  async #call({ pathname, searchParams }, body) {
    const [, name, id] = pathname.split("/");
    switch (name) {
      case "kv-key": {
        const item = this.#items.get(searchParams.get("key"));
        return item === undefined ? [404, {}] : [200, item];
      }
      case "kv-range":
        return [200, this.#range(searchParams)];
      case "kv-watch":
        return await this.#watch(searchParams);
      case "kv-txn":
        return this.#transact(body);
      case "kv-lease": {
        const lease = this.#nextLease;
        this.#nextLease += 1;
        this.#startLease(lease, body.ttl_ms);
        return [200, { lease, ttl_ms: body.ttl_ms }];
      }
      case "kv-keep": {
        const known = this.#leases.get(Number(id));
        if (known === undefined) {
          return [404, {}];
        }
        this.#startLease(Number(id), known.ttlMs);
        return [200, { ttl_ms: known.ttlMs }];
      }
      case "kv-lease-end":
        this.#endLease(Number(id));
        return [200, {}];
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
      items: items.slice(0, MAX_ITEMS),
      has_more: items.length > MAX_ITEMS,
      as_of: this.#revision,
    };
  }

  async #watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    if (after > this.#revision) {
      return [410, {}];
    }
    const events = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    if (events().length === 0) {
      await new Promise((resolve) => {
        const notify = () => {
          clearTimeout(timer);
          this.#watchers.delete(notify);
          resolve();
        };
        const timer = setTimeout(notify, Number(query.get("wait_ms")));
        this.#watchers.add(notify);
      });
    }
    return [200, { events: events(), as_of: this.#revision }];
  }

  #transact({ expect = [], puts = [], remove = [] }) {
    if (puts.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      return [404, {}];
    }
    const current = expect.map(({ key }) => this.#items.get(key));
    const isExpected = expect.every(({ revision }, index) =>
      (current[index]?.revision ?? 0) === revision
    );
    if (!isExpected) {
      return [412, { items: current.filter((item) => item !== undefined) }];
    }
    puts.forEach(({ key, value, lease }) => this.#put(key, value, lease));
    remove.forEach((key) => this.#remove(key));
    return [200, { revision: this.#revision }];
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const revision = this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    this.#items.set(key, item);
    this.#record(item);
  }

  #remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, deleted: true });
    }
  }

  #record(change) {
    this.#history.push(change);
    [...this.#watchers].forEach((notify) => notify());
  }

  /** Leases pause while the store is down. */
  #startLease(lease, ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => this.#endLease(lease), ttlMs);
    this.#leases.set(lease, { ttlMs, timer });
  }

  #endLease(lease) {
    if (this.isSilent) {
      this.#startLease(lease, 1_000);
      return;
    }
    this.#leases.delete(lease);
    [...this.#items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.#remove(key));
  }
}

/** A configuration with one service, one tenant and the limits of the sites. */
export function configuration({ service, routes, apiKey }) {
  return {
    version: 7,
    routes: routes.map((route) => ({
      host: "review.example",
      priority: 0,
      max_attempts: 2,
      public: false,
      sticky: false,
      resumable: false,
      service,
      ...route,
    })),
    services: [{
      name: service,
      health_path: "/health",
      connection_limit: 630,
      protocol: "h1",
      tls: false,
      cold_start_s: 0,
      cold_per_s: 0,
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "tenant-1", api_keys: [apiKey], priority: 1 }],
  };
}
