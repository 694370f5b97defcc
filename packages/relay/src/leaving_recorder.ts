import type { EndpointRegistry, LeavingSource } from "@limpetshed/dispatch";
import type { ChangeLogger } from "./change_logger.ts";

/** Options of {@linkcode LeavingRecorder}. */
export interface LeavingRecorderOptions {
  registry: EndpointRegistry;
  changes: ChangeLogger;
}

/** Records which endpoints say outside their entries that they leave. */
export class LeavingRecorder {
  readonly #options: LeavingRecorderOptions;

  constructor(options: LeavingRecorderOptions) {
    this.#options = options;
  }

  /** Records that the endpoint with this key leaves. */
  record(endpoint: string, source: LeavingSource = "endpoint"): void {
    const { registry, changes } = this.#options;
    if (registry.recordLeaving(endpoint, source)) {
      changes.log("endpoint_leaving", { endpoint, source });
    }
  }
}
