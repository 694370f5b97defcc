import process from "node:process";
import { type ManualClock, PausableClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { makeLogger, Metrics } from "@limpetshed/observe";
import { type FakePeerNetwork, PeerHandlers } from "@limpetshed/peer";
import { parseSettings } from "@limpetshed/settings";
import {
  FakeEndpointClient,
  type FakeEndpoints,
  FakeStore,
  type FakeVmList,
  type KvEngine,
} from "@limpetshed/stand_ins";
import type { Settings } from "@limpetshed/settings";
import { FleetNode } from "../../src/fleet_node.ts";

/** Options of {@linkcode TestNode}. */
export interface TestNodeOptions {
  id: string;
  zone: string;
  region: string;
  seed: number;
  clock: ManualClock;
  engine: KvEngine;
  vmList: FakeVmList;
  network: FakePeerNetwork;
  endpoints: FakeEndpoints;
  /** Changes the settings before the node is made. */
  settings?: (settings: Settings) => void;
}

/** A node on fake dependencies that can be crashed and paused. */
export class TestNode {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly metrics = new Metrics();
  readonly clock: PausableClock;
  readonly store: FakeStore;
  readonly node: FleetNode;
  /** Aborts when the node is killed, to close the connections of its callers. */
  readonly killed = new AbortController();
  readonly #options: TestNodeOptions;

  constructor(options: TestNodeOptions) {
    this.#options = options;
    const { id, zone, region, seed, network, endpoints } = options;
    this.id = id;
    this.zone = zone;
    this.address = `peer://${id}`;
    this.clock = new PausableClock({ clock: options.clock });
    const gate = () => this.clock.whenResumed();
    const { clock } = this;
    this.store = new FakeStore({ engine: options.engine, clock, gate });
    const handlers = new PeerHandlers();
    network.attach(this.address, handlers, { gate });
    const settings = testSettings({ id, zone, region });
    options.settings?.(settings);
    this.node = new FleetNode({
      settings,
      address: this.address,
      clock,
      rng: new Rng(seed),
      logger: makeLogger({
        level: process.env["TEST_LOG"] === "1" ? "debug" : "silent",
        fields: { node: id },
      }),
      metrics: this.metrics,
      store: this.store,
      vmList: options.vmList,
      transport: network.transport(this.address),
      handlers,
      client: new FakeEndpointClient({ endpoints, nodeId: id, gate }),
    });
  }

  /**
   * Simulates a crash: cuts the node off from peers, store, model endpoints and
   * callers before closing it.
   */
  kill(): void {
    this.#options.network.detach(this.address);
    this.store.faults.down = true;
    this.store.breakWatches();
    for (const address of this.#options.endpoints.models.keys()) {
      this.#options.endpoints.blockedPairs.add(`${this.id}|${address}`);
    }
    this.killed.abort("killed");
    this.clock.resume();
    void this.node.close();
  }
}

/** Returns valid settings for a test node; the addresses are placeholders. */
export function testSettings({ id, zone, region }: {
  id: string;
  zone: string;
  region: string;
}): Settings {
  return parseSettings(`
[node]
id = "${id}"
region = "${region}"
availability_zone = "${zone}"

[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:1"
peers = "127.0.0.1:1"

[platform]
store = "http://127.0.0.1:1"
vm_list = "http://127.0.0.1:1"

[secrets]
peer_key_file = "unused"
operator_keys_file = "unused"
`);
}
