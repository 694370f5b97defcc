import { HttpService } from "@limpetshed/base";

/** Options of {@linkcode ReadinessServer}. */
export interface ReadinessServerOptions {
  /** Path that the balancer asks for. */
  path: string;
  isReady: () => boolean;
}

/** Tells the balancer whether new connections may come here. */
export class ReadinessServer extends HttpService {
  constructor({ path, isReady }: ReadinessServerOptions) {
    super((req, res) => {
      const status = req.url !== path ? 404 : isReady() ? 200 : 503;
      res.writeHead(status, { "content-length": "0" });
      res.end();
    });
  }
}
