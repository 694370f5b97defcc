import type { Endpoint, EndpointRegistry } from "@limpetshed/dispatch";
import type { ConnectionVerifier } from "./connection_pool.ts";
import type { StateView } from "./state_view.ts";

/** Options of {@linkcode VersionVerifier}. */
export interface VersionVerifierOptions {
  endpoint: Endpoint;
  registry: Pick<EndpointRegistry, "getByKey">;
  view: StateView;
}

/** Verifies that a connection reaches an endpoint at the software version of its
 * entry. The process behind a connection does not change, so an entry that is
 * still the newest after the connection was established is that of the process. */
export class VersionVerifier implements ConnectionVerifier {
  readonly #options: VersionVerifierOptions;

  constructor(options: VersionVerifierOptions) {
    this.#options = options;
  }

  accepts(openedMs: number): boolean {
    return this.#options.view.confirmedMs() > openedMs && this.#isCurrent;
  }

  async verify(openedMs: number): Promise<boolean> {
    const { view } = this.#options;
    const isConfirmed = view.confirmedMs() > openedMs ||
      await view.confirm?.(openedMs) === true;
    return isConfirmed && this.#isCurrent;
  }

  get #isCurrent(): boolean {
    const { endpoint: { key, entry }, registry } = this.#options;
    const current = registry.getByKey(key)?.entry;
    return current?.address === entry.address &&
      current.softwareVersion === entry.softwareVersion;
  }
}
