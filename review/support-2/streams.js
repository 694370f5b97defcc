// Stand-ins for workers whose streams may be taken up again, and their clients.
import * as http from "node:http";

const HEARTBEAT_MS = 1_200;
const REQUEST_ID = "limpetshed-attempt-id";

/** A worker whose streams go on after the event that the client names. */
export class StreamWorker {
  #options;
  #store;
  #onRun;
  #address;
  #timer;
  #sequence = 0;
  #born = Date.now() - 60_000;
  #server = http.createServer((req, res) => {
    req.resume();
    req.on("end", () => this.#answer(req, res));
  });

  constructor(options, { store, onRun }) {
    this.#options = options;
    this.#store = store;
    this.#onRun = onRun;
  }

  get key() {
    return `servers/${this.#options.id}`;
  }

  listen(host) {
    return new Promise((resolve) => {
      this.#server.listen(0, host, () => {
        this.#address = `${host}:${this.#server.address().port}`;
        resolve();
      });
    });
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes heartbeats from `delayMs` on. */
  beat(delayMs) {
    clearInterval(this.#timer);
    setTimeout(() => {
      this.#write();
      this.#timer = setInterval(() => this.#write(), HEARTBEAT_MS);
    }, delayMs);
  }

  #write() {
    if (!this.#store.isDown) {
      this.#sequence += 1;
      this.#store.put(this.key, {
        service: "model",
        address: this.#address,
        zone: "za",
        version: this.#options.version,
        slots: 128,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: this.#sequence,
        born: this.#born,
      });
    }
  }

  #answer(req, res) {
    const { id, version, events, eventMs } = this.#options;
    const requestId = req.headers[REQUEST_ID];
    if (req.headers["limpetshed-expect-instance"] !== id) {
      res.writeHead(421, { [REQUEST_ID]: requestId }).end();
      return;
    }
    let event = Number(req.headers["last-event-id"] ?? 0);
    this.#onRun(`${id} (${version}) runs ${requestId} after event ${event}`);
    res.writeHead(200, {
      [REQUEST_ID]: requestId,
      "limpetshed-response-signature": `${id}.${requestId}`,
      "content-type": "text/event-stream",
    });
    const timer = setInterval(() => {
      if (res.destroyed) {
        clearInterval(timer);
        return;
      }
      event += 1;
      res.write(`id: ${event}\ndata: ${version} ${id}\n\n`);
      if (event >= events) {
        clearInterval(timer);
        res.end();
      }
    }, eventMs);
  }
}

/** Sends one try; adds the events that arrive to `events`. */
export function sendTry(
  front,
  { id, prompt, leftMs, events, firstId },
) {
  const lastEvent = events.at(-1);
  return new Promise((resolve) => {
    const outcome = { status: 0, isComplete: false, retryAfterMs: 0 };
    const req = http.request({
      ...front,
      agent: false,
      method: "POST",
      path: "/refine/x",
      headers: {
        host: "desk.example",
        authorization: "Bearer key-of-acme",
        [REQUEST_ID]: id,
        "limpetshed-model": "m",
        "limpetshed-token-counts": "120,300",
        "limpetshed-prompt-prefix": `${prompt}a:100,${prompt}b:20`,
        "limpetshed-deadline-ms": leftMs,
        "content-length": 0,
        ...(lastEvent === undefined
          ? {}
          : { "last-event-id": lastEvent.number, resumes: firstId }),
      },
    }, (res) => {
      outcome.status = res.statusCode;
      outcome.retryAfterMs = 1_000 * Number(res.headers["retry-after"] ?? 0);
      let text = "";
      res.on("data", (chunk) => {
        text += chunk;
        const parts = text.split("\n\n");
        text = parts.pop();
        for (const part of parts) {
          const match = /id: (\d+)\ndata: (\S+) (\S+)/.exec(part);
          if (match !== null) {
            const [, number, version, worker] = match;
            events.push({ number: Number(number), version, worker });
          }
        }
      });
      res.on("error", () => undefined);
      res.on("close", () => {
        outcome.isComplete = res.complete;
        resolve(outcome);
      });
    });
    req.on("error", (err) => {
      outcome.error = err.code;
      resolve(outcome);
    });
    req.end();
  });
}
