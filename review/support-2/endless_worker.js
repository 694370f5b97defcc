// A worker that runs as a process of its own. While it is in trouble, it ends its
// answers by trailers without end, as fast as the caller reads; otherwise it is sound.
import { Buffer } from "node:buffer";
import * as http from "node:http";
import process from "node:process";

const [host, id] = process.argv.slice(2);
const TRAILERS = Buffer.from("a:\r\n".repeat(20_000));
const WORK_MS = 15;
const REQUEST_ID = "limpetshed-attempt-id";
let isInTrouble = false;

/** Writes until the caller closes, or the trouble is over. */
function writeEndlessly(socket) {
  const write = () => {
    while (isInTrouble && !socket.destroyed) {
      if (!socket.write(TRAILERS)) {
        return;
      }
    }
    socket.destroy();
  };
  socket.on("drain", write);
  write();
}

const server = http.createServer((req, res) => {
  req.resume();
  req.on("end", () => {
    const requestId = req.headers[REQUEST_ID];
    if (req.headers["limpetshed-expect-instance"] !== id) {
      res.writeHead(421, { [REQUEST_ID]: requestId }).end();
      return;
    }
    setTimeout(() => {
      const headers = {
        [REQUEST_ID]: requestId,
        "limpetshed-response-signature": `${id}.${requestId}`,
      };
      if (!isInTrouble) {
        const body = `done ${requestId}`;
        res.writeHead(200, { ...headers, "content-length": body.length });
        res.end(body);
        return;
      }
      process.send({ endless: requestId });
      const lines = Object.entries({
        ...headers,
        "transfer-encoding": "chunked",
      }).map(([name, value]) => `${name}: ${value}\r\n`);
      req.socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n0\r\n`);
      writeEndlessly(req.socket);
    }, WORK_MS);
  });
});
server.listen(0, host, () => {
  process.send({ port: server.address().port });
});
process.on("message", (message) => {
  isInTrouble = message.isInTrouble;
});
process.on("disconnect", () => process.exit());
