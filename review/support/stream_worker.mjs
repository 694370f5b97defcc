// Stand-in for a worker of a streaming service, as a process of its own. Its
// streams have neither a length nor chunks and end with their connections.
import * as http from "node:http";
import process from "node:process";

const [, , ip, id, events, eventMs] = process.argv;
let runs = 0;
let isLeaving = false;

function streamFrom(res, { requestId, first }) {
  let next = first;
  const timer = setInterval(() => {
    if (res.destroyed || next > Number(events)) {
      clearInterval(timer);
      res.end();
      return;
    }
    res.write(`id: ${next}\ndata: ${requestId}\n\n`);
    next += 1;
  }, Number(eventMs));
}

const server = http.createServer((req, res) => {
  req.resume();
  req.once("end", () => {
    const requestId = req.headers["limpetshed-attempt-id"];
    const headers = {
      "limpetshed-attempt-id": requestId,
      ...(isLeaving ? { "server-leaving": "1" } : {}),
    };
    if (req.headers["limpetshed-expect-instance"] !== id) {
      res.writeHead(421, headers).end();
      return;
    }
    runs += 1;
    const after = Number(req.headers["last-event-id"] ?? 0);
    process.send({ kind: "run", id, requestId, after });
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    res.writeHead(200, {
      ...headers,
      "limpetshed-response-signature": `${id}.${runs}`,
      "content-type": "text/event-stream",
    });
    streamFrom(res, { requestId, first: after + 1 });
  });
});
server.listen(0, ip, () => {
  process.send({ kind: "listening", port: server.address().port });
});
process.on("message", (message) => {
  isLeaving = message === "leave";
});
process.on("disconnect", () => process.exit(0));
