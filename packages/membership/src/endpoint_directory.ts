import type { VmChanges, VmRecord, VmState } from "@limpetshed/vm_list";

/** An endpoint as recorded in the vm list. */
export interface EndpointInfo {
  id: string;
  /** `ip:port`. */
  address: string;
  region: string;
  availabilityZone: string;
  service: string;
  state: VmState;
}

/** In-memory index of the vm list's endpoints by id; live ones by service. */
export class EndpointDirectory {
  readonly #byId = new Map<string, EndpointInfo>();
  readonly #liveByService = new Map<string, EndpointInfo[]>();
  readonly #listeners: (() => void)[] = [];

  /** Returns an endpoint by id. */
  get(id: string): EndpointInfo | undefined {
    return this.#byId.get(id);
  }

  /** Returns all endpoints, in any state. */
  all(): EndpointInfo[] {
    return [...this.#byId.values()];
  }

  /** Returns the endpoints of a service that are listed as live. */
  live(service: string): EndpointInfo[] {
    return this.#liveByService.get(service) ?? [];
  }

  /** Calls `listener` after every change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Applies the endpoint records of a full or incremental vm list. */
  applyVmList({ whole, records }: VmChanges): void {
    const endpoints = records.filter((record) => record.kind === "endpoint");
    if (whole) {
      this.#byId.clear();
    }
    endpoints.forEach((record) => this.#applyRecord(record));
    if (whole || endpoints.length > 0) {
      this.#rebuildServiceIndex();
      this.#listeners.forEach((listener) => listener());
    }
  }

  #applyRecord(record: VmRecord): void {
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

  #rebuildServiceIndex(): void {
    this.#liveByService.clear();
    for (const info of this.#byId.values()) {
      if (info.state === "live") {
        const list = this.#liveByService.get(info.service) ?? [];
        list.push(info);
        this.#liveByService.set(info.service, list);
      }
    }
  }
}
