// Stand-in for a worker of a streaming service, as a process of its own. It sends
// sound streams until it is told to run away: then its streams are one event that
// never ends, in small chunks, as fast as the caller reads, until the caller closes.
import * as http from "node:http";
import process from "node:process";

const [, , ip, id] = process.argv;
const EVENTS = 10;
const EVENT_MS = 50;
const CHUNK = "token ".repeat(11).slice(0, 64);

let isRunaway = false;
let runs = 0;

function sendSoundStream(res, requestId) {
  let next = 1;
  const timer = setInterval(() => {
    if (res.destroyed || next > EVENTS) {
      clearInterval(timer);
      res.end();
      return;
    }
    res.write(`id: ${next}\ndata: ${requestId}\n\n`);
    next += 1;
  }, EVENT_MS);
}

function sendWithoutEnd(res) {
  res.write("id: 1\ndata: ");
  const write = () => {
    while (!res.destroyed && res.write(CHUNK)) {
      // Goes on until the buffer is full.
    }
  };
  res.on("drain", write);
  write();
}

const server = http.createServer((req, res) => {
  req.resume();
  req.once("end", () => {
    const requestId = req.headers["limpetshed-attempt-id"];
    const headers = { "limpetshed-attempt-id": requestId };
    if (req.headers["limpetshed-expect-instance"] !== id) {
      res.writeHead(421, headers).end();
      return;
    }
    runs += 1;
    process.send({ kind: "run", requestId, isRunaway });
    res.writeHead(200, {
      ...headers,
      "limpetshed-response-signature": `${id}.${runs}`,
      "content-type": "text/event-stream",
    });
    if (isRunaway) {
      sendWithoutEnd(res);
    } else {
      sendSoundStream(res, requestId);
    }
  });
});
server.listen(0, ip, () => {
  process.send({ kind: "listening", port: server.address().port });
});
process.on("message", (message) => {
  isRunaway = message === "run away";
});
process.on("disconnect", () => process.exit(0));
