import type { Clock } from "@limpetshed/base";
import type { Endpoint, EndpointRegistry } from "./endpoint_registry.ts";
import { STREAM_RETENTION_MS, type StreamOrigin } from "./stream_origins.ts";

/** Options of {@linkcode ServiceVersions}. */
export interface ServiceVersionsOptions {
  clock: Clock;
  registry: EndpointRegistry;
}

/** A mark of the store: a version is in service or was recently. */
export interface StoredVersionMark extends StreamOrigin {
  /** Id of the node that wrote it; undefined if that is of an earlier release. */
  keeper?: string;
}

/** Version of all endpoints of a service none of whose endpoints publishes one. */
const UNPUBLISHED = "";

/** Knows at which software versions streams of a service may have begun. */
export class ServiceVersions {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  /** Versions in the store's marks, by the mark's id. */
  readonly #marks = new Map<string, StoredVersionMark>();
  /** When each published version was last removed, by service. */
  readonly #removedMs = new Map<string, Map<string, number>>();

  constructor({ clock, registry }: ServiceVersionsOptions) {
    this.#clock = clock;
    this.#registry = registry;
  }

  /** Adds a mark of the store, or replaces it. */
  setMark(id: string, mark: StoredVersionMark): void {
    this.#marks.set(id, mark);
  }

  /** The mark of a version in the store. */
  findMark({ service, version }: StreamOrigin): StoredVersionMark | undefined {
    return [...this.#marks.values()].find((mark) =>
      mark.service === service && mark.version === version
    );
  }

  /** Removes a mark of the store. */
  deleteMark(id: string): void {
    this.#marks.delete(id);
  }

  /** Records that an endpoint was removed or replaced. */
  recordRemoved({ entry: { service, softwareVersion } }: Endpoint): void {
    if (softwareVersion === undefined) {
      return;
    }
    let removed = this.#removedMs.get(service);
    if (removed === undefined) {
      removed = new Map();
      this.#removedMs.set(service, removed);
    }
    removed.set(softwareVersion, this.#clock.monotonicMs());
  }

  /** Version of an endpoint. One that publishes none beside others that do has a
   * version of its own. */
  versionOf({ key, entry }: Endpoint): string {
    if (entry.softwareVersion !== undefined) {
      return entry.softwareVersion;
    }
    return this.#published(entry.service).size === 0
      ? UNPUBLISHED
      : `unpublished/${key}`;
  }

  /** Versions at which streams that clients may resume can have begun. */
  recent(service: string): ReadonlySet<string> {
    const versions = this.#published(service);
    for (const endpoint of this.#registry.serviceEndpoints(service)) {
      versions.add(this.versionOf(endpoint));
    }
    return versions;
  }

  /** Whether streams of the service may have begun at several versions. */
  isMixed(service: string): boolean {
    return this.recent(service).size > 1;
  }

  /** Published versions of the endpoints known now, each once. */
  inService(): StreamOrigin[] {
    const found = new Map<string, StreamOrigin>();
    for (const { service, softwareVersion } of this.#registry.entries()) {
      if (softwareVersion !== undefined) {
        found.set(JSON.stringify([service, softwareVersion]), {
          service,
          version: softwareVersion,
        });
      }
    }
    return [...found.values()];
  }

  #published(service: string): Set<string> {
    const now = this.#clock.monotonicMs();
    const versions = new Set<string>();
    for (const { entry } of this.#registry.serviceEndpoints(service)) {
      if (entry.softwareVersion !== undefined) {
        versions.add(entry.softwareVersion);
      }
    }
    for (const mark of this.#marks.values()) {
      if (mark.service === service) {
        versions.add(mark.version);
      }
    }
    for (const [version, removedMs] of this.#removedMs.get(service) ?? []) {
      if (now - removedMs <= STREAM_RETENTION_MS) {
        versions.add(version);
      } else {
        this.#removedMs.get(service)?.delete(version);
      }
    }
    return versions;
  }
}
