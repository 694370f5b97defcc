import type { VmChanges, VmRecord, VmState } from "@limpetshed/vm_list";

/** One endpoint as the vm list shows it. */
export interface EndpointInfo {
  id: string;
  /** `ip:port`. */
  address: string;
  region: string;
  availabilityZone: string;
  service: string;
  state: VmState;
}

/** The endpoints of all services, as the vm list shows them. */
export class EndpointDirectory {
  readonly #byId = new Map<string, EndpointInfo>();
  readonly #byService = new Map<string, EndpointInfo[]>();
  readonly #listeners: (() => void)[] = [];

  /** Finds an endpoint. */
  get(id: string): EndpointInfo | undefined {
    return this.#byId.get(id);
  }

  /** All endpoints. */
  all(): EndpointInfo[] {
    return [...this.#byId.values()];
  }

  /** Endpoints of a service that the list shows as live. */
  live(service: string): EndpointInfo[] {
    return this.#byService.get(service) ?? [];
  }

  /** Calls `listener` after every change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes over the endpoint records of a vm list. */
  applyVmList({ whole, records }: VmChanges): void {
    const endpoints = records.filter((record) => record.kind === "endpoint");
    if (whole) {
      this.#byId.clear();
    }
    endpoints.forEach((record) => this.#apply(record));
    if (whole || endpoints.length > 0) {
      this.#rebuild();
      this.#listeners.forEach((listener) => listener());
    }
  }

  #apply(record: VmRecord): void {
    if (record.state === "gone") {
      this.#byId.delete(record.id);
      return;
    }
    this.#byId.set(record.id, {
      id: record.id,
      address: record.address,
      region: record.region,
      availabilityZone: record.availabilityZone,
      service: record.service,
      state: record.state,
    });
  }

  #rebuild(): void {
    this.#byService.clear();
    for (const info of this.#byId.values()) {
      if (info.state === "live") {
        const list = this.#byService.get(info.service) ?? [];
        list.push(info);
        this.#byService.set(info.service, list);
      }
    }
  }
}
