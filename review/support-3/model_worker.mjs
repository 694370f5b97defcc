// Stand-in of a model worker that streams events, and can start again under its
// id and address at another version of its software.
import { once } from "node:events";
import * as http from "node:http";
import { nextAddress, sleep } from "./platform.mjs";

const HEARTBEAT_MS = 1_200;
const EVENT_MS = 100;
const DOWN_MS = 200;

export class ModelWorker {
  id;
  /** Version of its software. */
  version;
  #store;
  #service;
  #zone;
  #record;
  #ip = nextAddress();
  #port = 0;
  #born = Date.now();
  #sequence = 0;
  #server;
  #sockets = new Set();
  #heartbeat;

  constructor({ id, version, store, service, zone, record }) {
    this.id = id;
    this.version = version;
    this.#store = store;
    this.#service = service;
    this.#zone = zone;
    this.#record = record;
  }

  async start() {
    await this.#listen();
    this.#register();
    this.#heartbeat = setInterval(() => {
      if (this.#server.listening) {
        this.#register();
      }
    }, HEARTBEAT_MS);
  }

  /** Ends, and starts again under the same id and address. */
  async startAgain(version) {
    this.#record.line(`${this.id} ends`);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
    this.version = version;
    await sleep(DOWN_MS);
    this.#born = Date.now();
    this.#sequence = 0;
    await this.#listen();
    this.#record.line(`${this.id} starts again at version ${version}`);
    this.#register();
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #listen() {
    this.#server = http.createServer((req, res) => void this.#run(req, res));
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.#server.listen(this.#port, this.#ip);
    await once(this.#server, "listening");
    this.#port = this.#server.address().port;
  }

  #register() {
    this.#sequence += 1;
    const isWritten = this.#store.write(`servers/${this.id}`, {
      service: this.#service,
      address: `${this.#ip}:${this.#port}`,
      zone: this.#zone,
      version: this.version,
      slots: 128,
      state: "ready",
      cold_remaining_ms: 0,
      born: this.#born,
      sequence: this.#sequence,
    });
    if (isWritten && this.#sequence <= 2) {
      this.#record.line(`${this.id} writes version ${this.version}`);
    }
  }

  async #run(req, res) {
    const attemptId = req.headers["limpetshed-attempt-id"];
    const [, events] = String(req.headers["limpetshed-token-counts"])
      .split(",").map(Number);
    for await (const _ of req) {
      // The body is not used.
    }
    if (req.headers["limpetshed-expect-instance"] !== this.id) {
      res.writeHead(421, {
        "Limpetshed-Attempt-Id": attemptId,
        "Limpetshed-Not-Executed": "1",
      }).end();
      return;
    }
    const { version } = this;
    let last = Number(req.headers["last-event-id"] ?? 0);
    this.#record.line(`${this.id}/${version} runs ${attemptId} after ${last}`);
    res.writeHead(200, {
      "Limpetshed-Attempt-Id": attemptId,
      "Limpetshed-Response-Signature": `mac-${attemptId}`,
      "Content-Type": "text/event-stream",
    });
    while (last < events && !res.destroyed) {
      await sleep(EVENT_MS);
      last += 1;
      // The text tells the version, as versions write different texts.
      res.write(`id: ${last}\ndata: ${version}\n\n`);
    }
    res.end();
  }
}
