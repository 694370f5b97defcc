import { HttpService } from "@limpetshed/base";
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
export class MetricsServer extends HttpService {
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
    super(toNodeListener(app));
  }
}
