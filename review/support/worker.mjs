// Stand-in for a worker: serves requests for its id, and keeps its entry in the
// store.
import * as http from "node:http";

/** A worker of a service. */
export class Worker {
  state = "ready";
  /** Requests a second that it names as its limit; none if undefined. */
  limitPerS = undefined;
  address = "";
  #options;
  #server;
  #sequence = 0;
  #runs = 0;
  #born = Date.now();

  /** `onRun` is called with each request that begins to run. */
  constructor(options) {
    this.#options = {
      slots: 64,
      zone: "a",
      version: "v1",
      workMs: 20,
      events: 0,
      eventMs: 100,
      /** Whether a request fails: its connection is reset. */
      fails: () => false,
      ...options,
    };
    this.#server = http.createServer((req, res) => {
      req.resume();
      req.once("end", () => this.#serve(req, res));
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  get id() {
    return this.#options.id;
  }

  get version() {
    return this.#options.version;
  }

  get service() {
    return this.#options.service;
  }

  /** Listens on the worker's address. */
  async listen() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, this.#options.ip, resolve);
    });
    this.address = `${this.#options.ip}:${this.#server.address().port}`;
  }

  /** The next entry of the worker, to be written to the store. */
  nextEntry() {
    this.#sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.#options.zone,
      version: this.version,
      slots: this.#options.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.#sequence,
      born: this.#born,
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(req, res) {
    const requestId = req.headers["limpetshed-attempt-id"];
    const headers = {
      "limpetshed-attempt-id": requestId,
      ...(this.limitPerS === undefined
        ? {}
        : { "server-limit": String(this.limitPerS) }),
      ...(this.state === "ready" ? {} : { "server-leaving": "1" }),
    };
    if (req.headers["limpetshed-expect-instance"] !== this.id) {
      res.writeHead(421, headers).end();
      return;
    }
    this.#runs += 1;
    this.#options.onRun({
      worker: this,
      requestId,
      tenant: req.headers["limpetshed-tenant"],
      path: req.url,
    });
    const signature = `${this.id}.${this.#runs}`;
    if (this.#options.events > 0) {
      const after = Number(req.headers["last-event-id"] ?? 0);
      this.#stream(res, { requestId, signature, headers, after });
      return;
    }
    setTimeout(() => {
      const body = `done ${requestId}`;
      res.writeHead(200, {
        ...headers,
        "limpetshed-response-signature": signature,
        "content-length": body.length,
      });
      res.end(body);
    }, this.#nextWorkMs());
  }

  /** Time to the answer, or to the first event of a stream. */
  #nextWorkMs() {
    const { workMs } = this.#options;
    return typeof workMs === "function" ? workMs() : workMs;
  }

  /** Sends the events of a stream after the one with the id `after`. */
  #stream(res, { requestId, signature, headers, after }) {
    const { events, eventMs, fails } = this.#options;
    const isFailing = fails();
    let next = after + 1;
    const writeNext = () => {
      if (res.destroyed) {
        return;
      }
      if (next > events) {
        res.end();
        return;
      }
      res.write(`id: ${next}\ndata: ${this.version} ${requestId}\n\n`);
      next += 1;
      setTimeout(writeNext, eventMs);
    };
    setTimeout(() => {
      if (isFailing) {
        res.socket?.resetAndDestroy();
        return;
      }
      res.writeHead(200, {
        ...headers,
        "limpetshed-response-signature": signature,
        "content-type": "text/event-stream",
      });
      writeNext();
    }, this.#nextWorkMs());
  }
}
