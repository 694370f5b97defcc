import { HttpService } from "@limpetshed/base";
import type { RelayMetrics } from "@limpetshed/observe";
import {
  createApp,
  createRouter,
  defineEventHandler,
  setResponseHeader,
  toNodeListener,
} from "h3";

const METRICS_PATH = "/metrics";

/** Serves metrics in text format over HTTP. */
export class MetricsServer extends HttpService {
  constructor({ metrics, onScrape }: {
    metrics: RelayMetrics;
    /** Called before each scrape, to update gauges. */
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
    super(toNodeListener(app));
  }
}
