import { splitHostPort } from "@limpetshed/base";
import type { PeerDirectory } from "@limpetshed/fleet";
import type { FleetRelaySettings } from "./fleet_relay_settings.ts";

/** Options of {@linkcode NodeAddresses}. */
export interface NodeAddressesOptions {
  listen: FleetRelaySettings["listen"];
  directory: PeerDirectory;
}

/** Tells addresses of nodes from those of endpoints: a request that is sent to a
 * node instead of an endpoint comes back. */
export class NodeAddresses {
  readonly #own: ReadonlySet<string>;
  readonly #ports: ReadonlySet<number>;
  readonly #directory: PeerDirectory;

  constructor({ listen, directory }: NodeAddressesOptions) {
    const addresses = Object.values(listen)
      .filter((address): address is string => typeof address === "string");
    this.#own = new Set(addresses);
    this.#ports = new Set(
      addresses.map((address) => splitHostPort(address).port),
    );
    this.#directory = directory;
  }

  /** Whether this node listens at `ip:port`. */
  isOwn(address: string): boolean {
    return this.#own.has(address);
  }

  /** Whether this node or another one listens at `ip:port`. All nodes have the
   * same ports. */
  isNode(address: string): boolean {
    const { host, port } = splitHostPort(address);
    return this.isOwn(address) ||
      (this.#ports.has(port) && this.#directory.hasHost(host));
  }
}
