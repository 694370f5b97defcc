import { RouteTable } from "./route_table.ts";
import type { RoutingConfig } from "./routing_config.ts";

/** The configuration in force; its version only ever grows. */
export class ConfigHolder {
  #table: RouteTable | undefined;
  readonly #listeners: ((table: RouteTable) => void)[] = [];

  /** The table in force; undefined before the first version is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Version in force; 0 before the first is known. */
  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Puts `config` in force if it is newer; returns whether it is. */
  offer(config: RoutingConfig): boolean {
    if (config.version <= this.version) {
      return false;
    }
    this.#table = new RouteTable(config);
    for (const listener of this.#listeners) {
      listener(this.#table);
    }
    return true;
  }

  /** Calls `listener` with each table that comes into force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }
}
