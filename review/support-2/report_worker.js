// A worker that runs as a process of its own: answers each request by a report of
// the length in its path, with neither a length nor chunks, and ends its channel.
import { Buffer } from "node:buffer";
import * as http from "node:http";
import process from "node:process";

const [host, port, id] = process.argv.slice(2);
const CHUNK = Buffer.alloc(65_536, "a");
const REQUEST_ID = "limpetshed-attempt-id";

const server = http.createServer((req, res) => {
  req.resume();
  req.on("end", () => {
    const requestId = req.headers[REQUEST_ID];
    if (req.headers["limpetshed-expect-instance"] !== id) {
      res.writeHead(421, { [REQUEST_ID]: requestId }).end();
      return;
    }
    process.send({ ran: requestId, by: id });
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    res.writeHead(200, {
      [REQUEST_ID]: requestId,
      "limpetshed-response-signature": `${id}.${requestId}`,
    });
    let left = Number(req.url.split("/").at(-1));
    const send = () => {
      while (left > 0 && !res.destroyed) {
        const chunk = CHUNK.subarray(0, Math.min(left, CHUNK.length));
        left -= chunk.length;
        if (!res.write(chunk)) {
          res.once("drain", send);
          return;
        }
      }
      res.end();
    };
    send();
  });
});
server.listen(Number(port), host, () => {
  process.send({ port: server.address().port });
});
process.on("disconnect", () => process.exit());
