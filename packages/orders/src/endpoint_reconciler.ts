import {
  type Clock,
  invariant,
  repeat,
  type RepeatingTask,
} from "@limpetshed/base";
import type { ConfigSnapshot, Service } from "@limpetshed/config";
import type {
  EndpointClient,
  LoadedState,
  LoadReport,
} from "@limpetshed/endpoint";
import type { EndpointInfo } from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import type { StoreClient } from "@limpetshed/store";
import { acquireLoadSlot } from "./load_slots.ts";
import {
  acquireFencingNumber,
  type FencingHolder,
  readFencingHolder,
} from "./fencing_number.ts";

/** An endpoint that this node owns, with its last load report. */
export interface ReconcileTarget {
  info: EndpointInfo;
  report: LoadReport;
}

/** Options of {@linkcode EndpointReconciler}. */
export interface EndpointReconcilerOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  store: StoreClient;
  client: EndpointClient;
  nodeId: string;
  config: () => ConfigSnapshot;
  /** The endpoints that this node owns now. */
  targets: () => readonly ReconcileTarget[];
}

interface HeldFencingNumber extends FencingHolder {
  /** Monotonic time in milliseconds before which no order is sent. */
  notBeforeMs: number;
  /** Monotonic time in milliseconds just before its last confirmation began. */
  confirmedAtMs: number;
}

const RECONCILE_INTERVAL_MS = 2_000;
const ORDER_TIMEOUT_MS = 2_000;
/** Maximum age of a confirmation, as a fraction of an order's validity. */
const MAX_CONFIRMATION_AGE_RATIO = 0.5;

/**
 * Brings each owned endpoint to its configured state. An order contains the
 * desired state and a fencing number from the store. Endpoints that check the
 * number refuse orders with a lower one; for the others, a new holder waits
 * until the previous holder's orders have expired.
 */
export class EndpointReconciler {
  readonly #options: EndpointReconcilerOptions;
  readonly #heldNumbers = new Map<string, HeldFencingNumber>();
  readonly #lastSentNumbers = new Map<string, number>();
  #orderCount = 0;
  #timer: RepeatingTask | undefined;

  constructor(options: EndpointReconcilerOptions) {
    this.#options = options;
  }

  /** Starts periodic reconciliation. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#timer = repeat(clock, () => this.reconcile(), {
      intervalMs: RECONCILE_INTERVAL_MS,
      onError: (err) => logger.warn({ err }, "reconciliation failed"),
    });
  }

  /** Compares reports with the configuration once and sends the orders due. */
  async reconcile(): Promise<void> {
    const targets = this.#options.targets();
    const owned = new Set(targets.map(({ info }) => info.id));
    for (const id of this.#heldNumbers.keys()) {
      if (!owned.has(id)) {
        this.#heldNumbers.delete(id);
      }
    }
    for (const { info, report } of targets) {
      const service = this.#options.config().service(info.service);
      const wanted = service?.wanted;
      if (
        service !== undefined && wanted !== undefined &&
        !isSameLoadedState(report.loaded, wanted)
      ) {
        await this.#reconcileEndpoint(info, {
          service,
          wanted,
          loaded: report.loaded,
        });
      }
    }
  }

  /** Stops reconciling. */
  async close(): Promise<void> {
    await this.#timer?.close();
  }

  async #reconcileEndpoint(info: EndpointInfo, { service, wanted, loaded }: {
    service: Service;
    wanted: LoadedState;
    loaded: LoadedState;
  }): Promise<void> {
    const held = await this.#confirmOrAcquireNumber(info.id, service);
    const { clock, store, nodeId } = this.#options;
    if (held === undefined || clock.monotonicMs() < held.notBeforeMs) {
      return;
    }
    const loadsWeights = loaded.model !== wanted.model ||
      loaded.version !== wanted.version ||
      loaded.adapters.join() !== wanted.adapters.join();
    if (loadsWeights && !await acquireLoadSlot(store, { nodeId })) {
      return;
    }
    await this.#sendOrder(info, { service, wanted, held });
  }

  /** Confirms this node's number with the store, or acquires one. */
  async #confirmOrAcquireNumber(
    endpointId: string,
    service: Service,
  ): Promise<HeldFencingNumber | undefined> {
    const { store, clock, nodeId } = this.#options;
    const held = this.#heldNumbers.get(endpointId);
    const requestedAtMs = clock.monotonicMs();
    if (held === undefined) {
      return await this.#acquireNumber(endpointId, service);
    }
    const found = await readFencingHolder(store, endpointId);
    const isHolder = found?.holder.nodeId === nodeId &&
      found.holder.fencingNumber === held.fencingNumber;
    if (!isHolder) {
      this.#heldNumbers.delete(endpointId);
      return undefined;
    }
    held.confirmedAtMs = requestedAtMs;
    return held;
  }

  async #acquireNumber(
    endpointId: string,
    service: Service,
  ): Promise<HeldFencingNumber | undefined> {
    const { store, clock, nodeId } = this.#options;
    const requestedAtMs = clock.monotonicMs();
    const holder = await acquireFencingNumber(store, { endpointId, nodeId });
    if (holder === undefined) {
      return undefined;
    }
    // Number 1 has no previous holder whose orders could still be valid.
    const waitMs = service.checks_fencing || holder.fencingNumber === 1
      ? 0
      : service.order_valid_ms;
    const held: HeldFencingNumber = {
      ...holder,
      confirmedAtMs: requestedAtMs,
      notBeforeMs: clock.monotonicMs() + waitMs,
    };
    this.#heldNumbers.set(endpointId, held);
    return held;
  }

  async #sendOrder(info: EndpointInfo, { service, wanted, held }: {
    service: Service;
    wanted: LoadedState;
    held: HeldFencingNumber;
  }): Promise<void> {
    const { client, clock, logger, metrics, nodeId } = this.#options;
    const ageMs = clock.monotonicMs() - held.confirmedAtMs;
    if (ageMs > service.order_valid_ms * MAX_CONFIRMATION_AGE_RATIO) {
      return;
    }
    const last = this.#lastSentNumbers.get(info.id) ?? 0;
    invariant("order.number_never_down", held.fencingNumber >= last, {
      endpoint: info.id,
      number: held.fencingNumber,
      last,
    });
    this.#lastSentNumbers.set(info.id, held.fencingNumber);
    this.#orderCount += 1;
    const order = {
      orderId: `${nodeId}/${held.fencingNumber}/${this.#orderCount}`,
      fencingNumber: held.fencingNumber,
      validMs: Math.floor(service.order_valid_ms - ageMs),
      wanted,
    };
    metrics.count("order.sent");
    const target = { id: info.id, address: info.address };
    const taken = await client.sendOrder(target, order, {
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    logger.info({ endpoint: info.id, order, taken }, "order sent");
    if (!taken) {
      metrics.count("order.refused_stale");
      this.#heldNumbers.delete(info.id);
    }
  }
}

function isSameLoadedState(a: LoadedState, b: LoadedState): boolean {
  return a.model === b.model && a.version === b.version &&
    a.role === b.role && a.adapters.join() === b.adapters.join();
}
