import type { Clock } from "@limpetshed/base";
import type { EndpointEntry } from "./endpoint_entry.ts";

/** One start of an endpoint, as known here. */
export interface Endpoint {
  /** Differs between starts of an endpoint with the same id. */
  readonly key: string;
  readonly entry: EndpointEntry;
  /** Monotonic time until which the endpoint counts as cold. */
  coldUntilMs: number;
  /** Monotonic time at which it became known. */
  readonly knownSinceMs: number;
  /** Its entry is gone; it gets work only if no other endpoint can. */
  isLastResort: boolean;
}

/** Why an endpoint was dropped. */
export type RemovalReason = "gone" | "restarted";

/** Options of {@linkcode EndpointRegistry}. */
export interface EndpointRegistryOptions {
  clock: Clock;
  /** Called when an endpoint is dropped. */
  onRemove?: (endpoint: Endpoint, reason: RemovalReason) => void;
}

/** The endpoints that nodes may send to, by service. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #byId = new Map<string, Endpoint>();
  readonly #zonesOut = new Set<string>();
  readonly #byKey = new Map<string, Endpoint>();
  readonly #members = new Map<string, readonly Endpoint[]>();
  readonly #usable = new Map<string, readonly Endpoint[]>();
  #version = 0;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  /** Grows with every change. */
  get version(): number {
    return this.#version;
  }

  /** Takes over what an endpoint says; a new start replaces the one before. */
  put(entry: EndpointEntry): Endpoint {
    const now = this.#options.clock.monotonicMs();
    const known = this.#byId.get(entry.id);
    const key = `${entry.id}/${entry.startedMs}`;
    const coldUntilMs = entry.coldMs > 0 ? now + entry.coldMs : 0;
    if (known !== undefined && known.key !== key) {
      this.#byKey.delete(known.key);
      this.#options.onRemove?.(known, "restarted");
    }
    const isSame = known?.key === key;
    const endpoint: Endpoint = {
      key,
      entry,
      coldUntilMs: Math.max(coldUntilMs, isSame ? known.coldUntilMs : 0),
      knownSinceMs: isSame ? known.knownSinceMs : now,
      isLastResort: false,
    };
    this.#byId.set(entry.id, endpoint);
    this.#byKey.set(key, endpoint);
    this.#changed();
    return endpoint;
  }

  /** Leaves an endpoint whose entry is gone to requests that no other can
   * take. */
  demote(id: string): void {
    const known = this.#byId.get(id);
    if (known !== undefined) {
      known.isLastResort = true;
      this.#changed();
    }
  }

  /** Drops an endpoint; returns whether it was known. */
  delete(id: string): boolean {
    const known = this.#byId.get(id);
    if (known === undefined) {
      return false;
    }
    this.#byId.delete(id);
    this.#byKey.delete(known.key);
    this.#options.onRemove?.(known, "gone");
    this.#changed();
    return true;
  }

  /** Takes an availability zone out, or back in. */
  setZoneOut(zone: string, isOut: boolean): void {
    if (isOut) {
      this.#zonesOut.add(zone);
    } else {
      this.#zonesOut.delete(zone);
    }
    this.#changed();
  }

  /** The endpoint of that id. */
  get(id: string): Endpoint | undefined {
    return this.#byId.get(id);
  }

  /** The endpoint of that key. */
  getByKey(key: string): Endpoint | undefined {
    return this.#byKey.get(key);
  }

  /** Every endpoint of a service, sorted by key. */
  members(service: string): readonly Endpoint[] {
    let found = this.#members.get(service);
    if (found === undefined) {
      found = [...this.#byId.values()]
        .filter(({ entry }) => entry.service === service)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#members.set(service, found);
    }
    return found;
  }

  /** Endpoints of a service that may get new work, sorted by key. */
  usable(service: string): readonly Endpoint[] {
    let found = this.#usable.get(service);
    if (found === undefined) {
      const ready = this.members(service)
        .filter((member) => this.isUsable(member));
      const present = ready.filter(({ isLastResort: isFading }) => !isFading);
      found = present.length > 0 ? present : ready;
      this.#usable.set(service, found);
    }
    return found;
  }

  /** Whether `endpoint` may get new work now. */
  isUsable(endpoint: Endpoint): boolean {
    const known = this.#byId.get(endpoint.entry.id);
    return known?.key === endpoint.key && known.entry.state === "ready" &&
      !this.#zonesOut.has(known.entry.availabilityZone);
  }

  #changed(): void {
    this.#version += 1;
    this.#members.clear();
    this.#usable.clear();
  }
}
