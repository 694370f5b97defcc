import { RouteTable } from "./route_table.ts";
import type { RoutingConfig } from "./routing_config.ts";

/** Holds the active configuration; its version never decreases. */
export class CurrentConfig {
  #table: RouteTable | undefined;
  readonly #listeners: ((table: RouteTable) => void)[] = [];

  /** The active route table; undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** The active version; 0 before the first configuration. */
  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Activates `config` if its version is newer; returns whether it was
   * activated. */
  applyIfNewer(config: RoutingConfig): boolean {
    if (config.version <= this.version) {
      return false;
    }
    this.#table = new RouteTable(config);
    for (const listener of this.#listeners) {
      listener(this.#table);
    }
    return true;
  }

  /** Calls `listener` with every route table that becomes active later. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }
}
