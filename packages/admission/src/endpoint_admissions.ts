import { invariant } from "@limpetshed/base";

/** Permission for a request to run on an endpoint; expires unless renewed. */
export interface Admission {
  id: bigint;
  fingerprint: bigint;
  /** Node that holds the caller's connection. */
  entryNodeId: string;
  /** An endpoint went down earlier while running this request. */
  suspect: boolean;
  /** When it was granted or first reported here, monotonic milliseconds. */
  openedAtMs: number;
  /** Monotonic milliseconds at which it expires unless renewed. */
  expiresAtMs: number;
}

interface Waiter {
  /** Retries the request; returns whether it was granted or refused. */
  retry: () => boolean;
  /** Exceeds the member's share; served after all requests within theirs. */
  spare: boolean;
}

/** Milliseconds after which an admission expires unless renewed. */
export const ADMISSION_TTL_MS = 30_000;
/** Milliseconds after which an admission of a dead entry node expires. */
const DEAD_ENTRY_NODE_TTL_MS = 2_000;

/** Open admissions of an endpoint and the requests waiting for one. */
export class EndpointAdmissions {
  readonly endpointId: string;
  readonly #admissions = new Map<bigint, Admission>();
  #waiters: Waiter[] = [];

  constructor({ endpointId }: { endpointId: string }) {
    this.endpointId = endpointId;
  }

  /** Number of open admissions. */
  get inFlight(): number {
    return this.#admissions.size;
  }

  /** Whether an open admission belongs to a suspect request. */
  get hasSuspect(): boolean {
    return [...this.#admissions.values()].some(({ suspect }) => suspect);
  }

  /** Number of requests waiting for admission. */
  get waiting(): number {
    return this.#waiters.length;
  }

  /** Adds a new admission; the caller has checked the limit. */
  open(admission: Admission, { limit }: { limit: number }): void {
    const alreadyOpen = this.#admissions.has(admission.id);
    this.#admissions.set(admission.id, admission);
    invariant(
      "admission.never_above_limit",
      alreadyOpen || this.#admissions.size <= limit,
      { endpoint: this.endpointId, inFlight: this.#admissions.size, limit },
    );
  }

  /** Renews an admission, or adds one that another owner granted. */
  merge(admission: Admission): void {
    const existing = this.#admissions.get(admission.id);
    const { suspect, openedAtMs } = existing ?? admission;
    this.#admissions.set(admission.id, { ...admission, suspect, openedAtMs });
  }

  /** Whether the admission is open. */
  has(id: bigint): boolean {
    return this.#admissions.has(id);
  }

  /** Removes an admission; returns it if it was open. */
  close(id: bigint): Admission | undefined {
    const admission = this.#admissions.get(id);
    if (this.#admissions.delete(id)) {
      this.retryWaiters();
    }
    return admission;
  }

  /** Shortens the expiry of admissions whose entry node is dead. */
  onEntryNodeDead(nodeId: string, nowMs: number): void {
    for (const admission of this.#admissions.values()) {
      if (admission.entryNodeId === nodeId) {
        admission.expiresAtMs = Math.min(
          admission.expiresAtMs,
          nowMs + DEAD_ENTRY_NODE_TTL_MS,
        );
      }
    }
  }

  /** Removes expired admissions; returns how many. */
  removeExpired(nowMs: number): number {
    let expired = 0;
    for (const { id, expiresAtMs } of this.#admissions.values()) {
      if (expiresAtMs <= nowMs) {
        this.#admissions.delete(id);
        expired += 1;
      }
    }
    if (expired > 0) {
      this.retryWaiters();
    }
    return expired;
  }

  /** Counts admissions opened after a time in monotonic milliseconds. */
  countOpenedAfter(timeMs: number): number {
    return this.all().filter(({ openedAtMs }) => openedAtMs > timeMs).length;
  }

  /** Returns all open admissions. */
  all(): Admission[] {
    return [...this.#admissions.values()];
  }

  /**
   * Adds a waiter; returns a function that removes it. `retry` returns whether
   * the request was granted or refused and no longer waits.
   */
  addWaiter(
    retry: () => boolean,
    { spare }: { spare: boolean },
  ): () => void {
    const waiter = { retry, spare };
    this.#waiters.push(waiter);
    return () => {
      this.#waiters = this.#waiters.filter((other) => other !== waiter);
    };
  }

  /**
   * Retries all waiters: first requests within their member's share, then the
   * others, each in order of arrival.
   */
  retryWaiters(): void {
    const inOrder = [
      ...this.#waiters.filter(({ spare }) => !spare),
      ...this.#waiters.filter(({ spare }) => spare),
    ];
    for (const waiter of inOrder) {
      if (waiter.retry()) {
        this.#waiters = this.#waiters.filter((other) => other !== waiter);
      }
    }
  }
}
