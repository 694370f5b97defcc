import { RouteTable } from "./route_table.ts";
import type { RoutingConfig } from "./routing_config.ts";

/** Holds the configuration in force; its version never decreases. */
export class CurrentConfig {
  #table: RouteTable | undefined;
  readonly #listeners: ((table: RouteTable) => void)[] = [];

  /** The route table in force; undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** The version in force; 0 before the first configuration. */
  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Puts `config` in force if its version is newer; returns whether it is. */
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

  /** Calls `listener` with every route table that comes into force later. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }
}
