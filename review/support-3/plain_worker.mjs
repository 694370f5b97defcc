// Stand-in of a worker of a plain service.
import { once } from "node:events";
import * as http from "node:http";
import { nextAddress, sleep } from "./platform.mjs";

const HEARTBEAT_MS = 1_200;

export class PlainWorker {
  #id;
  #workMs;
  #onRun;
  #server = http.createServer((req, res) => void this.#handle(req, res));
  #heartbeat;

  /** `workMs` returns how long a request takes; `onRun` gets its attempt id. */
  constructor({ id, workMs, onRun }) {
    this.#id = id;
    this.#workMs = workMs;
    this.#onRun = onRun;
  }

  /** Listens, and registers in the store at each heartbeat. */
  async start({ store, service, zone, slots }) {
    const ip = nextAddress();
    this.#server.listen(0, ip);
    await once(this.#server, "listening");
    let sequence = 0;
    const born = Date.now();
    const register = () => {
      sequence += 1;
      store.write(`servers/${this.#id}`, {
        service,
        address: `${ip}:${this.#server.address().port}`,
        zone,
        version: "1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        born,
        sequence,
      });
    };
    register();
    this.#heartbeat = setInterval(register, HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req, res) {
    const attemptId = req.headers["limpetshed-attempt-id"];
    if (req.headers["limpetshed-expect-instance"] !== this.#id) {
      res.writeHead(421, {
        "Limpetshed-Attempt-Id": attemptId,
        "Limpetshed-Not-Executed": "1",
      }).end();
      return;
    }
    this.#onRun(attemptId);
    let bytes = 0;
    try {
      for await (const chunk of req) {
        bytes += chunk.length;
      }
    } catch {
      return;
    }
    await sleep(this.#workMs(attemptId));
    const body = `${attemptId} ${bytes}`;
    res.writeHead(200, {
      "Limpetshed-Attempt-Id": attemptId,
      "Limpetshed-Response-Signature": `mac-${attemptId}`,
      "Content-Length": body.length,
    });
    res.end(body);
  }
}
