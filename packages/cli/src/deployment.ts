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

/** Names of the built-in layouts. */
export type LayoutName = "brodeline" | "vozes";

/** Zones, endpoints and services of a layout. */
export interface Layout {
  region: string;
  availabilityZones: readonly string[];
  modelService: string;
  modelEndpoints: number;
  plainService: string;
  plainEndpoints: number;
}

/** The built-in layouts, in the sizes of today's two deployments. */
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
  /** Port of the key-value service; the others follow. 0 takes free ports. */
  portBase?: number;
  vmListLagMs?: number;
  /** Model endpoints, if not as many as the layout has. */
  modelEndpoints?: number;
}

const FULLY_WARM = 1_000;
const DEFAULT_LAG_MS = 500;

/** Everything outside the fleet, as stand-ins on loopback in this process. */
export class Deployment {
  readonly layout: Layout;
  readonly vmList: FakeVmList;
  readonly models = new Map<string, FakeModelEngine>();
  readonly plains = new Map<string, FakePlainService>();
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

  /** Starts all stand-ins. */
  async start(): Promise<void> {
    await initHashing();
    const { portBase = 0 } = this.#options;
    let port = portBase;
    const nextPort = () => portBase === 0 ? 0 : port++;
    this.storeUrl = await this.store.listen(nextPort());
    const vmListAddress = await this.#serve(
      createVmListServer(this.vmList),
      nextPort(),
    );
    this.vmListUrl = `http://${vmListAddress}`;
    const { plainEndpoints } = this.layout;
    const { modelEndpoints = this.layout.modelEndpoints } = this.#options;
    for (let index = 1; index <= modelEndpoints; index += 1) {
      await this.#startModel(index, nextPort());
    }
    for (let index = 1; index <= plainEndpoints; index += 1) {
      await this.#startPlain(index, nextPort());
    }
    this.vmList.lagMs = this.#options.vmListLagMs ?? DEFAULT_LAG_MS;
  }

  /** Adds a node to the vm list at once. */
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

  /** A first configuration: every zone in, `members` with equal shares. */
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

  async #startModel(index: number, port: number): Promise<void> {
    const id = `model-${index}`;
    const engine = new FakeModelEngine({
      id,
      clock: this.#clock,
      rng: new Rng(this.#options.seed + index),
      completedAtStart: FULLY_WARM,
    });
    this.models.set(id, engine);
    const address = await this.#serve(createModelServer(engine), port);
    this.#list(id, address, { service: this.layout.modelService, index });
  }

  async #startPlain(index: number, port: number): Promise<void> {
    const id = `plain-${index}`;
    const engine = new FakePlainService({ id, clock: this.#clock });
    this.plains.set(id, engine);
    const address = await this.#serve(createPlainServer(engine), port);
    this.#list(id, address, { service: this.layout.plainService, index });
  }

  #list(
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

  async #serve(server: LoopbackHttpServer, port: number): Promise<string> {
    this.#servers.push(server);
    return await server.listen(port);
  }
}

/** A member's name and its key, `NAME.SECRET`. */
export interface MemberKey {
  name: string;
  key: string;
}

/** Members of a stand-in deployment, with keys made from the seed. */
export function memberKeys(count: number, seed: number): MemberKey[] {
  return Array.from({ length: count }, (_, index) => {
    const name = `member-${index + 1}`;
    const secret = sha256Hex(`${seed}/${name}`).slice(0, 32);
    return { name, key: `${name}.${secret}` };
  });
}
