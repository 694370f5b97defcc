import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";

/** A response that ended before it was complete. */
export interface LostResponse {
  /** Key of the endpoint. */
  endpoint: string;
  /** Traits of the request. */
  traits: readonly string[];
  /** Those of them that the request was sent to try. */
  trials: readonly string[];
  /** Monotonic time at which the request was sent. */
  sentMs: number;
  /** Monotonic time at which the response was lost. */
  lostMs: number;
}

/** A lost response counts as a crash if the endpoint is found down within this
 * time; crashed endpoints stay down for seconds. */
const CONFIRMATION_MS = 3_000;
/** Longest time from the end of an endpoint to the news of it: its entry in the
 * key-value store lapses after several missed heartbeats. */
const MAX_NOTICE_MS = 5_000;
const MAX_ENDPOINTS = 2_000;
/** Responses of one endpoint that are considered, the latest ones; more than the
 * slots and the queue of an endpoint. */
const MAX_RESPONSES = 1_024;

/**
 * Tells responses that were lost with their endpoint from those of endpoints that
 * live: a lost response and an endpoint found down count together only if they
 * are close in time, in either order.
 */
export class LostResponses {
  readonly #clock: Clock;
  readonly #byEndpoint = new LRUCache<string, LostResponse[]>(
    boundedEntries(MAX_ENDPOINTS),
  );
  readonly #downSinceMs = new LRUCache<string, number>(
    boundedEntries(MAX_ENDPOINTS),
  );

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Records a lost response; returns it if its endpoint is known to be down. */
  add(response: LostResponse): LostResponse[] {
    const { endpoint, lostMs } = response;
    const downSinceMs = this.#downSinceMs.get(endpoint);
    if (
      downSinceMs !== undefined && lostMs - downSinceMs <= CONFIRMATION_MS
    ) {
      return [response];
    }
    const responses = (this.#byEndpoint.get(endpoint) ?? []).filter((other) =>
      lostMs - other.lostMs <= CONFIRMATION_MS + MAX_NOTICE_MS
    );
    responses.push(response);
    this.#byEndpoint.set(endpoint, responses.slice(-MAX_RESPONSES));
    return [];
  }

  /** Records that an endpoint has been down for up to `noticeMs`; returns the
   * responses that were lost with it. */
  endpointDown(endpoint: string, { noticeMs }: {
    noticeMs: number;
  }): LostResponse[] {
    if (noticeMs > MAX_NOTICE_MS) {
      return [];
    }
    const downSinceMs = this.#clock.monotonicMs() - noticeMs;
    this.#downSinceMs.set(endpoint, downSinceMs);
    const responses = this.#byEndpoint.get(endpoint) ?? [];
    this.#byEndpoint.delete(endpoint);
    return responses.filter(({ lostMs }) =>
      downSinceMs - lostMs <= CONFIRMATION_MS
    );
  }
}
