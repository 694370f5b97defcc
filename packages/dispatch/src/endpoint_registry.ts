import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import { type LeavingSource, ToldLeavings } from "./told_leavings.ts";

/** An endpoint between one start and the next, as known to this node. A restart
 * creates a new incarnation. */
export interface Endpoint {
  /** Id and start time, so that it changes when the endpoint restarts. */
  readonly key: string;
  readonly entry: EndpointEntry;
  /** Monotonic time until which the endpoint is cold. */
  coldUntilMs: number;
  /** Monotonic time at which this incarnation became known. */
  readonly knownSinceMs: number;
  /** Its entry was removed: it is used only if no other endpoint is usable. */
  isLastResort: boolean;
}

/** When an endpoint published an entry, compared with the one that is known. */
export type EntryOrder = "earlier" | "later" | "unknown";

/** Why an endpoint was removed. */
export type RemovalReason = "gone" | "restarted";

/** Options of {@linkcode EndpointRegistry}. */
export interface EndpointRegistryOptions {
  clock: Clock;
  /** Called when an endpoint is removed or replaced by a restart. */
  onRemove?: (endpoint: Endpoint, reason: RemovalReason) => void;
  /** Called when an endpoint seems to have ended, though it did not say that it
   * leaves: its entry was removed or another endpoint has its address. */
  onVanished?: (endpoint: Endpoint) => void;
}

const MAX_RESTARTED_KEYS = 1_000;

/** Registry of the known endpoints and of the availability zones out of
 * service. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #byId = new Map<string, Endpoint>();
  readonly #zonesOut = new Set<string>();
  readonly #byKey = new Map<string, Endpoint>();
  readonly #endpointsByService = new Map<string, readonly Endpoint[]>();
  readonly #usableByService = new Map<string, readonly Endpoint[]>();
  readonly #toldLeavings = new ToldLeavings();
  /** Incarnations that ended without saying that they leave. */
  readonly #restartedKeys = new LRUCache<string, true>(
    boundedEntries(MAX_RESTARTED_KEYS),
  );
  #version = 0;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  /** Incremented on every change of the endpoints or the availability zones out
   * of service. */
  get version(): number {
    return this.#version;
  }

  /** Adds or updates an endpoint; a restart replaces the previous
   * incarnation. */
  put(entry: EndpointEntry): Endpoint {
    const now = this.#options.clock.monotonicMs();
    const known = this.#byId.get(entry.id);
    const key = `${entry.id}/${entry.startedMs}`;
    const coldUntilMs = entry.coldMs > 0 ? now + entry.coldMs : 0;
    const isSameVersion = known?.entry.softwareVersion ===
      entry.softwareVersion;
    if (known?.key === key && !isSameVersion) {
      // Its entry names no start time that tells this from the last incarnation.
      this.#options.onRemove?.(known, "gone");
    }
    if (known !== undefined && known.key !== key) {
      this.#byKey.delete(known.key);
      if (!this.isLeaving(known)) {
        this.#restartedKeys.set(known.key, true);
      }
      this.#options.onRemove?.(known, "restarted");
    }
    const isSameIncarnation = known?.key === key && isSameVersion;
    this.#restartedKeys.delete(key);
    const endpoint: Endpoint = {
      key,
      entry,
      coldUntilMs: Math.max(
        coldUntilMs,
        isSameIncarnation ? known.coldUntilMs : 0,
      ),
      knownSinceMs: isSameIncarnation ? known.knownSinceMs : now,
      isLastResort: false,
    };
    this.#byId.set(entry.id, endpoint);
    this.#byKey.set(key, endpoint);
    if (!isSameIncarnation) {
      this.#reportAddressTaken(endpoint);
    }
    this.#invalidate();
    return endpoint;
  }

  /** Compares an entry with the one known of its endpoint: a write that the store
   * carries out late, or has restored, may be earlier. */
  orderOf({ id, startedMs, sequence }: EndpointEntry): EntryOrder {
    const known = this.#byId.get(id)?.entry;
    if (known === undefined) {
      return "unknown";
    }
    const order = startedMs - known.startedMs ||
      (sequence ?? Number.NaN) - (known.sequence ?? Number.NaN);
    return order < 0 ? "earlier" : order > 0 ? "later" : "unknown";
  }

  /** Makes an endpoint whose entry was removed a last resort. `hasVanished` tells
   * whether that is a sign that it has ended. */
  demote(
    id: string,
    { hasVanished = true }: { hasVanished?: boolean } = {},
  ): void {
    const known = this.#byId.get(id);
    if (known !== undefined && !known.isLastResort) {
      known.isLastResort = true;
      if (hasVanished) {
        this.#reportVanished(known);
      }
      this.#invalidate();
    }
  }

  /** Removes an endpoint; returns whether it was known. */
  delete(id: string): boolean {
    const known = this.#byId.get(id);
    if (known === undefined) {
      return false;
    }
    this.#byId.delete(id);
    this.#byKey.delete(known.key);
    if (known.entry.startedMs === 0) {
      // Nothing would tell its next start from this one.
      this.#toldLeavings.forget(known.key);
    }
    this.#options.onRemove?.(known, "gone");
    this.#invalidate();
    return true;
  }

  /** Records that the endpoint with this key leaves, whatever its entry says. One
   * of which another node said so is used only if there is no other. Returns
   * whether that was not known. */
  recordLeaving(key: string, source: LeavingSource): boolean {
    const isNews = this.#toldLeavings.record(key, source);
    if (isNews) {
      this.#invalidate();
    }
    return isNews;
  }

  /** Returns the keys of the endpoints that told this node since the last call that
   * they leave. */
  takeToldLeavings(): string[] {
    return this.#toldLeavings.takeNews();
  }

  /** Whether the endpoint says in its entry or said in a response that it
   * leaves. */
  isLeaving({ key, entry }: Endpoint): boolean {
    return entry.state !== "ready" || this.#toldLeavings.isLeaving(key);
  }

  /** Takes an availability zone out of service, or back into it. */
  setZoneOut(zone: string, isOut: boolean): void {
    if (isOut) {
      this.#zonesOut.add(zone);
    } else {
      this.#zonesOut.delete(zone);
    }
    this.#invalidate();
  }

  /** The current incarnation of the endpoint with this id. */
  get(id: string): Endpoint | undefined {
    return this.#byId.get(id);
  }

  /** The endpoint with this key, unless it has restarted since. */
  getByKey(key: string): Endpoint | undefined {
    return this.#byKey.get(key);
  }

  /** Whether the endpoint of this key was replaced by a restart without having
   * said that it leaves. */
  hasRestarted(key: string): boolean {
    return this.#restartedKeys.has(key);
  }

  /** The entries of all endpoints. */
  *entries(): IterableIterator<EndpointEntry> {
    for (const { entry } of this.#byId.values()) {
      yield entry;
    }
  }

  /** Whether an endpoint has this `ip:port`. */
  hasAddress(address: string): boolean {
    return this.endpointsAt(address).length > 0;
  }

  /** The endpoints with this `ip:port`: several if one has the address of another
   * that is gone. */
  endpointsAt(address: string): Endpoint[] {
    return [...this.#byId.values()]
      .filter(({ entry }) => entry.address === address);
  }

  /** All endpoints of a service, sorted by key. */
  serviceEndpoints(service: string): readonly Endpoint[] {
    let endpoints = this.#endpointsByService.get(service);
    if (endpoints === undefined) {
      endpoints = [...this.#byId.values()]
        .filter(({ entry }) => entry.service === service)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#endpointsByService.set(service, endpoints);
    }
    return endpoints;
  }

  /** Endpoints of a service that accept new requests, sorted by key. Includes
   * last-resort endpoints only if there are no others. */
  usable(service: string): readonly Endpoint[] {
    let usable = this.#usableByService.get(service);
    if (usable === undefined) {
      usable = this.usableWhere(service, () => true);
      this.#usableByService.set(service, usable);
    }
    return usable;
  }

  /** As `usable`, of those endpoints that are eligible. */
  usableWhere(
    service: string,
    isEligible: (endpoint: Endpoint) => boolean,
  ): readonly Endpoint[] {
    const ready = this.serviceEndpoints(service)
      .filter((endpoint) => this.isUsable(endpoint) && isEligible(endpoint));
    const preferred = ready.filter(({ key, isLastResort }) =>
      !isLastResort && !this.#toldLeavings.isHinted(key)
    );
    return preferred.length > 0 ? preferred : ready;
  }

  /** Whether `endpoint` is the current incarnation and accepts new requests. */
  isUsable(endpoint: Endpoint): boolean {
    const known = this.#byId.get(endpoint.entry.id);
    return known?.key === endpoint.key && !this.isLeaving(known) &&
      !this.#zonesOut.has(known.entry.availabilityZone);
  }

  #reportAddressTaken({ key, entry: { address } }: Endpoint): void {
    for (const other of this.#byId.values()) {
      if (other.key !== key && other.entry.address === address) {
        this.#reportVanished(other);
      }
    }
  }

  #reportVanished(endpoint: Endpoint): void {
    if (!this.isLeaving(endpoint)) {
      this.#options.onVanished?.(endpoint);
    }
  }

  #invalidate(): void {
    this.#version += 1;
    this.#endpointsByService.clear();
    this.#usableByService.clear();
  }
}
