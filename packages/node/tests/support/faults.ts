import type { FakeModelEngine } from "@limpetshed/stand_ins";
import type { History } from "./history.ts";
import { waitFor } from "./history.ts";

/** Injects one kind of fault; resolves when the fault is over. */
export type Fault = (history: History) => Promise<void>;

/** Names of the faults in {@linkcode FAULTS}. */
export type FaultName = keyof typeof FAULTS;

const FAULT_MS = 5_000;

/** Faults that histories inject; the keys appear in the titles of the tests. */
export const FAULTS = {
  endpoint_crash: async (history: History) => {
    for (let count = 0; count < 2; count += 1) {
      pickModel(history).crash();
      await waitFor(history, FAULT_MS / 2);
    }
  },
  endpoint_leave: async (history: History) => {
    const engine = pickModel(history);
    const zone = zoneOf(history, engine.id);
    history.checks.out(engine.id);
    engine.drain();
    history.fleet.listEndpoint(engine.id, zone, "chat", "leaving");
    await waitFor(history, 2 * FAULT_MS);
    history.fleet.listEndpoint(engine.id, zone, "chat", "gone");
    engine.stop();
  },
  endpoint_flap: async (history: History) => {
    const engine = pickModel(history);
    const zone = zoneOf(history, engine.id);
    for (let count = 0; count < 4; count += 1) {
      history.fleet.listEndpoint(engine.id, zone, "chat", "gone");
      await waitFor(history, 700);
      history.fleet.listEndpoint(engine.id, zone, "chat", "live");
      await waitFor(history, 700);
    }
  },
  endpoint_join: async (history: History) => {
    const id = `new${history.rng.int(1_000)}`;
    const zone = `z${1 + history.rng.int(3)}`;
    const engine = history.fleet.addModel(id, zone, { completedAtStart: 0 });
    history.checks.observe(engine, zone);
    await waitFor(history, FAULT_MS);
  },
  eviction: async (history: History) => {
    history.fleet.models().forEach((engine) => engine.evictSilentlyTo(0.001));
    await waitFor(history, 100);
  },
  node_kill: async (history: History) => {
    const id = pickNode(history);
    if (id === undefined) {
      return;
    }
    history.fleet.kill(id);
    await waitFor(history, FAULT_MS);
    history.fleet.listNode(id, "z1", "gone");
    const replacementId = `${id}x`;
    history.fleet.listNode(replacementId, "z1");
    await history.fleet.addNode(replacementId, "z1");
  },
  node_stop: async (history: History) => {
    const id = pickNode(history);
    if (id === undefined) {
      return;
    }
    const { node } = history.fleet.node(id);
    await node.beginStop();
    await waitFor(history, FAULT_MS);
    history.fleet.listNode(id, "z1", "gone");
    history.fleet.nodes.delete(id);
    await node.close();
  },
  all_nodes_restart: async (history: History) => {
    const ids = [...history.fleet.nodes.keys()];
    ids.forEach((id) => history.fleet.kill(id));
    await waitFor(history, 1_000);
    for (const id of ids) {
      history.fleet.listNode(id, "z1", "gone");
      history.fleet.listNode(`${id}y`, "z1");
    }
    await Promise.all(ids.map((id) => history.fleet.addNode(`${id}y`, "z1")));
    await waitFor(history, FAULT_MS);
  },
  node_pause: async (history: History) => {
    const id = pickNode(history);
    if (id === undefined) {
      return;
    }
    const { clock } = history.fleet.node(id);
    clock.pause();
    await waitFor(history, 1_000 + history.rng.int(2 * FAULT_MS));
    clock.resume();
  },
  peer_cut: async (history: History) => {
    const { network, nodes } = history.fleet;
    const [from, to] = history.rng.shuffle([...nodes.values()]);
    if (from !== undefined && to !== undefined) {
      const pair = `${from.address}|${to.address}`;
      network.blockedPairs.add(pair);
      await waitFor(history, FAULT_MS);
      network.blockedPairs.delete(pair);
    }
  },
  peer_slow: async (history: History) => {
    const { network } = history.fleet;
    const originalDelayMs = network.delayMs;
    network.delayMs = () => history.rng.int(200);
    await waitFor(history, FAULT_MS);
    network.delayMs = originalDelayMs;
  },
  store_down: async (history: History) => {
    forEachStore(history, (store) => {
      store.faults.down = true;
      store.breakWatches();
    });
    await waitFor(history, FAULT_MS);
    forEachStore(history, (store) => {
      store.faults.down = false;
    });
  },
  store_slow: async (history: History) => {
    forEachStore(history, (store) => {
      store.faults.delayMs = 800;
    });
    await waitFor(history, FAULT_MS);
    forEachStore(history, (store) => {
      store.faults.delayMs = 0;
    });
  },
  store_answers_lost: async (history: History) => {
    forEachStore(history, (store) => {
      store.faults.choose = (call) => {
        if (call === "read") {
          return history.rng.fraction() < 0.2 ? "down" : "none";
        }
        return history.rng.pick(["none", "answer_lost", "late_effect"]) ??
          "none";
      };
    });
    await waitFor(history, FAULT_MS);
    forEachStore(history, (store) => {
      store.faults.choose = () => "none";
    });
  },
  vm_list_down: async (history: History) => {
    history.fleet.vmList.down = true;
    await waitFor(history, FAULT_MS);
    history.fleet.vmList.down = false;
  },
  zone_out_in: async (history: History) => {
    const zone = `z${1 + history.rng.int(3)}`;
    const zonePatch = (state: "in" | "out") => ({
      availability_zones: { [zone]: { state } },
    });
    if (await patchUntilAccepted(history, zonePatch("out"))) {
      history.checks.out(zone);
      await waitFor(history, FAULT_MS + 1_000);
    }
    // Ends the check before the patch: a node may apply it and use the zone
    // before `patchUntilAccepted` returns.
    history.checks.in(zone);
    await patchUntilAccepted(history, zonePatch("in"));
  },
  patch_race: async (history: History) => {
    const patches = Array.from(
      { length: 6 },
      (_, index) => history.patch({ members: { [`m${index}`]: newMember() } }),
    );
    await Promise.all(patches);
    await waitFor(history, 500);
  },
  poison: async (history: History) => {
    const crashesBefore = countCrashes(history);
    await history.sendPoison(6);
    history.poisonCrashes = countCrashes(history) - crashesBefore;
  },
  plain_faults: async (history: History) => {
    const { plainServices: plains } = history.fleet.endpoints;
    for (const engine of plains.values()) {
      engine.chooseFault = () =>
        history.rng.pick(["none", "die_before", "die_after", "refuse"]) ??
          "none";
    }
    await waitFor(history, FAULT_MS);
    plains.forEach((engine) => {
      engine.chooseFault = () => "none";
    });
  },
} satisfies Record<string, Fault>;

/** All fault names, in the order of {@linkcode FAULTS}. */
export const FAULT_NAMES = Object.keys(FAULTS) as FaultName[];

function pickModel(history: History): FakeModelEngine {
  const up = history.fleet.models().filter(({ down }) => !down);
  return history.rng.pick(up)!;
}

function pickNode(history: History): string | undefined {
  return history.rng.pick([...history.fleet.nodes.keys()]);
}

function countCrashes(history: History): number {
  return history.fleet.models().reduce((sum, m) => sum + m.crashes, 0);
}

function zoneOf(history: History, id: string): string {
  const [first] = [...history.fleet.nodes.values()];
  return first?.node.endpointDirectory.get(id)?.availabilityZone ?? "z1";
}

function forEachStore(
  history: History,
  change: (store: {
    faults: {
      down: boolean;
      delayMs: number;
      choose: (
        call: "read" | "write",
      ) => "none" | "down" | "answer_lost" | "late_effect" | "rate_limited";
    };
    breakWatches(): void;
  }) => void,
): void {
  for (const { store } of history.fleet.nodes.values()) {
    change(store);
  }
}

async function patchUntilAccepted(
  history: History,
  patch: object,
): Promise<boolean> {
  for (let attempt = 0; attempt < 10; attempt += 1) {
    if (await history.patch(patch)) {
      return true;
    }
    await waitFor(history, 500);
  }
  return false;
}

function newMember() {
  return { keys: [], services: ["chat"], share: 1 };
}
