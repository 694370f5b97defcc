import { HttpService } from "@limpetshed/base";

/** Options of {@linkcode ReadinessServer}. */
export interface ReadinessServerOptions {
  /** Path of the readiness check. */
  path: string;
  isReady: () => boolean;
}

/** Answers the load balancer's readiness checks: 200 if ready, else 503. */
export class ReadinessServer extends HttpService {
  constructor({ path, isReady }: ReadinessServerOptions) {
    super((req, res) => {
      const status = req.url !== path ? 404 : isReady() ? 200 : 503;
      res.writeHead(status, { "content-length": "0" });
      res.end();
    });
  }
}
