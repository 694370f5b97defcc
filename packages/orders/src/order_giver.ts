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
import { takeLoadSlot } from "./load_slots.ts";
import { type OrderHolder, readHolder, takeNumber } from "./order_number.ts";

/** An endpoint that this node owns, with its last report. */
export interface OrderTarget {
  info: EndpointInfo;
  report: LoadReport;
}

/** Options of {@linkcode OrderGiver}. */
export interface OrderGiverOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  store: StoreClient;
  client: EndpointClient;
  nodeId: string;
  config: () => ConfigSnapshot;
  /** The endpoints that this node owns now. */
  targets: () => readonly OrderTarget[];
}

interface Held extends OrderHolder {
  /** Monotonic milliseconds before which no order is given. */
  notBeforeMs: number;
  /** Monotonic milliseconds when the store last confirmed the number. */
  confirmedAtMs: number;
}

const ROUND_MS = 2_000;
const ORDER_TIMEOUT_MS = 2_000;
/** Part of an order's validity for which a confirmed number counts. */
const CONFIRMED_PART = 0.5;

/**
 * Brings each owned endpoint to the state that the configuration wants.
 * Orders name the end state and carry a fencing number from the store.
 * Endpoints that check the number refuse an older one; for the others a new
 * holder first waits until the former one's orders are no longer valid.
 */
export class OrderGiver {
  readonly #options: OrderGiverOptions;
  readonly #held = new Map<string, Held>();
  readonly #given = new Map<string, number>();
  #orders = 0;
  #rounds: RepeatingTask | undefined;

  constructor(options: OrderGiverOptions) {
    this.#options = options;
  }

  /** Starts comparing reports with what is wanted. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#rounds = repeat(clock, () => this.round(), {
      intervalMs: ROUND_MS,
      onError: (err) => logger.warn({ err }, "orders not given"),
    });
  }

  /** Compares once and gives the orders that are due. */
  async round(): Promise<void> {
    const targets = this.#options.targets();
    const owned = new Set(targets.map(({ info }) => info.id));
    for (const id of this.#held.keys()) {
      if (!owned.has(id)) {
        this.#held.delete(id);
      }
    }
    for (const { info, report } of targets) {
      const service = this.#options.config().service(info.service);
      const wanted = service?.wanted;
      if (
        service !== undefined && wanted !== undefined &&
        !sameLoaded(report.loaded, wanted)
      ) {
        await this.#bring(info, { service, wanted, loaded: report.loaded });
      }
    }
  }

  /** Stops giving orders. */
  async close(): Promise<void> {
    await this.#rounds?.close();
  }

  async #bring(info: EndpointInfo, { service, wanted, loaded }: {
    service: Service;
    wanted: LoadedState;
    loaded: LoadedState;
  }): Promise<void> {
    const held = await this.#confirmedNumber(info.id, service);
    const { clock, store, nodeId } = this.#options;
    if (held === undefined || clock.monotonicMs() < held.notBeforeMs) {
      return;
    }
    const loadsWeights = loaded.model !== wanted.model ||
      loaded.version !== wanted.version ||
      loaded.adapters.join() !== wanted.adapters.join();
    if (loadsWeights && !await takeLoadSlot(store, { nodeId })) {
      return;
    }
    await this.#give(info, { service, wanted, held });
  }

  /** The number this node holds, confirmed by the store not long ago. */
  async #confirmedNumber(
    endpointId: string,
    service: Service,
  ): Promise<Held | undefined> {
    const { store, clock, nodeId } = this.#options;
    const held = this.#held.get(endpointId);
    const askedAtMs = clock.monotonicMs();
    if (held === undefined) {
      return await this.#take(endpointId, service);
    }
    const found = await readHolder(store, endpointId);
    const still = found?.holder.nodeId === nodeId &&
      found.holder.fencingNumber === held.fencingNumber;
    if (!still) {
      this.#held.delete(endpointId);
      return undefined;
    }
    held.confirmedAtMs = askedAtMs;
    return held;
  }

  async #take(
    endpointId: string,
    service: Service,
  ): Promise<Held | undefined> {
    const { store, clock, nodeId } = this.#options;
    const askedAtMs = clock.monotonicMs();
    const holder = await takeNumber(store, { endpointId, nodeId });
    if (holder === undefined) {
      return undefined;
    }
    const waitMs = service.checks_fencing || holder.fencingNumber === 1
      ? 0
      : service.order_valid_ms;
    const held: Held = {
      ...holder,
      confirmedAtMs: askedAtMs,
      notBeforeMs: clock.monotonicMs() + waitMs,
    };
    this.#held.set(endpointId, held);
    return held;
  }

  async #give(info: EndpointInfo, { service, wanted, held }: {
    service: Service;
    wanted: LoadedState;
    held: Held;
  }): Promise<void> {
    const { client, clock, logger, metrics, nodeId } = this.#options;
    const ageMs = clock.monotonicMs() - held.confirmedAtMs;
    if (ageMs > service.order_valid_ms * CONFIRMED_PART) {
      return;
    }
    const last = this.#given.get(info.id) ?? 0;
    invariant("order.number_never_down", held.fencingNumber >= last, {
      endpoint: info.id,
      number: held.fencingNumber,
      last,
    });
    this.#given.set(info.id, held.fencingNumber);
    this.#orders += 1;
    const order = {
      orderId: `${nodeId}/${held.fencingNumber}/${this.#orders}`,
      fencingNumber: held.fencingNumber,
      validMs: Math.floor(service.order_valid_ms - ageMs),
      wanted,
    };
    metrics.count("order.sent");
    const target = { id: info.id, address: info.address };
    const taken = await client.sendOrder(target, order, {
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    logger.info({ endpoint: info.id, order, taken }, "order given");
    if (!taken) {
      metrics.count("order.refused_stale");
      this.#held.delete(info.id);
    }
  }
}

function sameLoaded(a: LoadedState, b: LoadedState): boolean {
  return a.model === b.model && a.version === b.version &&
    a.role === b.role && a.adapters.join() === b.adapters.join();
}
