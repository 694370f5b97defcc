import { SystemClock } from "@limpetshed/base";
import { initHashing, Rng, sha256Hex } from "@limpetshed/hashing";
import {
  createModelServer,
  createPlainServer,
  createVmListServer,
  FakeEtcdServer,
  FakeModelEngine,
  FakePlainService,
  FakeVmList,
  KvEngine,
  type LoopbackHttpServer,
} from "@limpetshed/stand_ins";

/** Name of a built-in layout. */
export type LayoutName = "brodeline" | "vozes";

/** Availability zones, services and endpoint counts of a deployment. */
export interface Layout {
  region: string;
  availabilityZones: readonly string[];
  modelService: string;
  modelEndpoints: number;
  plainService: string;
  plainEndpoints: number;
}

/** The built-in layouts, with the sizes of the two existing deployments. */
export const LAYOUTS: Readonly<Record<LayoutName, Layout>> = {
  brodeline: {
    region: "sfax",
    availabilityZones: ["sfax-1", "sfax-2", "sfax-3"],
    modelService: "monogram",
    modelEndpoints: 6,
    plainService: "orders",
    plainEndpoints: 3,
  },
  vozes: {
    region: "portugal",
    availabilityZones: ["lisbon-1", "lisbon-2", "porto-1", "porto-2"],
    modelService: "narration",
    modelEndpoints: 6,
    plainService: "booking",
    plainEndpoints: 4,
  },
};

/** Options of {@linkcode Deployment}. */
export interface DeploymentOptions {
  layout: LayoutName;
  seed: number;
  /** First port, of the key-value service; others follow. 0 uses free ports. */
  portBase?: number;
  vmListLagMs?: number;
  /** Number of model endpoints; that of the layout by default. */
  modelEndpoints?: number;
}

const WARM_COMPLETED_REQUESTS = 1_000;
const DEFAULT_VM_LIST_LAG_MS = 500;

/**
 * Runs stand-ins for the platform and the endpoints in this process, on
 * loopback. The nodes are started separately.
 */
export class Deployment {
  readonly layout: Layout;
  readonly vmList: FakeVmList;
  readonly models = new Map<string, FakeModelEngine>();
  readonly plainEngines = new Map<string, FakePlainService>();
  readonly store: FakeEtcdServer;
  storeUrl = "";
  vmListUrl = "";
  readonly #clock = new SystemClock();
  readonly #servers: LoopbackHttpServer[] = [];
  readonly #options: DeploymentOptions;

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.layout = LAYOUTS[options.layout];
    const clock = this.#clock;
    this.store = new FakeEtcdServer({ clock, engine: new KvEngine({ clock }) });
    this.vmList = new FakeVmList({ clock });
  }

  /** Starts the key-value service, the vm list and all endpoints. */
  async start(): Promise<void> {
    await initHashing();
    const { portBase = 0 } = this.#options;
    let port = portBase;
    const nextPort = () => portBase === 0 ? 0 : port++;
    this.storeUrl = await this.store.listen(nextPort());
    const vmListAddress = await this.#startServer(
      createVmListServer(this.vmList),
      nextPort(),
    );
    this.vmListUrl = `http://${vmListAddress}`;
    const { plainEndpoints } = this.layout;
    const { modelEndpoints = this.layout.modelEndpoints } = this.#options;
    for (let index = 1; index <= modelEndpoints; index += 1) {
      await this.#startModelEndpoint(index, nextPort());
    }
    for (let index = 1; index <= plainEndpoints; index += 1) {
      await this.#startPlainEndpoint(index, nextPort());
    }
    this.vmList.lagMs = this.#options.vmListLagMs ?? DEFAULT_VM_LIST_LAG_MS;
  }

  /** Adds a node to the vm list, visible without lag. */
  addNode({ id, address, availabilityZone }: {
    id: string;
    address: string;
    availabilityZone: string;
  }): void {
    const { region } = this.layout;
    this.vmList.set({
      id,
      kind: "node",
      address,
      region,
      availabilityZone,
      service: "",
      state: "live",
    }, { lagMs: 0 });
  }

  /** Returns an initial configuration with all zones in and equal shares. */
  firstConfig(
    { members, budget }: { members: readonly MemberKey[]; budget: number },
  ): object {
    const { modelService, plainService, availabilityZones } = this.layout;
    const services = [modelService, plainService];
    const share = budget / Math.max(1, members.length);
    return {
      budget: { tokens_per_second: budget },
      services: {
        [modelService]: { kind: "model", max_in_flight: 64 },
        [plainService]: {
          kind: "plain",
          operations: [
            { method: "GET", path_prefix: "/", repeatable: true },
            { method: "POST", path_prefix: "/", repeatable: false },
          ],
        },
      },
      availability_zones: Object.fromEntries(
        availabilityZones.map((zone) => [zone, { state: "in" }]),
      ),
      members: Object.fromEntries(
        members.map(({ name, key }) => [
          name,
          { keys: [sha256Hex(key)], services, share },
        ]),
      ),
    };
  }

  /** Stops all stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.#servers.map((server) => server.close()));
    await this.store.close();
  }

  async #startModelEndpoint(index: number, port: number): Promise<void> {
    const id = `model-${index}`;
    const engine = new FakeModelEngine({
      id,
      clock: this.#clock,
      rng: new Rng(this.#options.seed + index),
      completedAtStart: WARM_COMPLETED_REQUESTS,
    });
    this.models.set(id, engine);
    const address = await this.#startServer(createModelServer(engine), port);
    this.#listEndpoint(id, address, {
      service: this.layout.modelService,
      index,
    });
  }

  async #startPlainEndpoint(index: number, port: number): Promise<void> {
    const id = `plain-${index}`;
    const engine = new FakePlainService({ id, clock: this.#clock });
    this.plainEngines.set(id, engine);
    const address = await this.#startServer(createPlainServer(engine), port);
    this.#listEndpoint(id, address, {
      service: this.layout.plainService,
      index,
    });
  }

  #listEndpoint(
    id: string,
    address: string,
    { service, index }: { service: string; index: number },
  ): void {
    const { region, availabilityZones } = this.layout;
    const zone = availabilityZones[(index - 1) % availabilityZones.length];
    this.vmList.set({
      id,
      kind: "endpoint",
      address,
      region,
      availabilityZone: zone ?? "",
      service,
      state: "live",
    });
  }

  async #startServer(
    server: LoopbackHttpServer,
    port: number,
  ): Promise<string> {
    this.#servers.push(server);
    return await server.listen(port);
  }
}

/** Name of a member and its API key in the form `NAME.SECRET`. */
export interface MemberKey {
  name: string;
  key: string;
}

/** Generates `count` members with keys derived from the seed. */
export function memberKeys(count: number, seed: number): MemberKey[] {
  return Array.from({ length: count }, (_, index) => {
    const name = `member-${index + 1}`;
    const secret = sha256Hex(`${seed}/${name}`).slice(0, 32);
    return { name, key: `${name}.${secret}` };
  });
}
