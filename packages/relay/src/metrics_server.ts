import * as http from "node:http";
import { listenOn } from "@limpetshed/base";
import type { RelayMetrics } from "@limpetshed/observe";
import {
  createApp,
  createRouter,
  defineEventHandler,
  setResponseHeader,
  toNodeListener,
} from "h3";

/** Path of the metrics. */
const METRICS_PATH = "/metrics";

/** Serves metrics as text. */
export class MetricsServer {
  readonly #server: http.Server;

  constructor({ metrics, onScrape }: {
    metrics: RelayMetrics;
    /** Called before each answer, to set gauges. */
    onScrape: () => void;
  }) {
    const router = createRouter();
    router.get(
      METRICS_PATH,
      defineEventHandler((event) => {
        onScrape();
        setResponseHeader(event, "content-type", metrics.contentType);
        return metrics.text();
      }),
    );
    const app = createApp();
    app.use(router);
    this.#server = http.createServer(toNodeListener(app));
  }

  /** Starts listening on `ip:port`. */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
