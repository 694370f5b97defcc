import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from "@limpetshed/endpoint";
import {
  LoopbackHttpServer,
  readBody,
  sendJson,
} from "./loopback_http_server.ts";
import type { FakePlainService } from "./fake_plain_service.ts";
import { plainLoadReport } from "./plain_load_report.ts";

/** Request header that identifies a call in the execution counts. */
export const REFERENCE_HEADER = "x-reference";

/** Creates an HTTP server for a {@linkcode FakePlainService}. */
export function createPlainServer(
  engine: FakePlainService,
): LoopbackHttpServer {
  return new LoopbackHttpServer(async (req, res) => {
    if (req.url?.startsWith("/load") === true) {
      sendJson(res, 200, plainLoadReport(engine));
      return;
    }
    const body = await readBody(req);
    const reference = req.headers[REFERENCE_HEADER];
    const requestId = req.headers[REQUEST_ID_HEADER];
    try {
      const result = await engine.call(
        typeof reference === "string" ? reference : body,
      );
      res.writeHead(result.status, {
        "content-type": "application/json",
        [REQUEST_ID_HEADER]: typeof requestId === "string" ? requestId : "",
        ...(result.notRun ? { [NOT_RUN_HEADER]: "true" } : {}),
      });
      res.end(result.body);
    } catch {
      req.socket.destroy();
    }
  });
}
