import { invariant } from "@limpetshed/base";

/** One open admission. */
export interface Admission {
  id: bigint;
  fingerprint: bigint;
  /** Node that holds the caller's connection. */
  entryNodeId: string;
  /** An endpoint was lost while running this request before. */
  suspect: boolean;
  /** When it was granted or first announced here, monotonic milliseconds. */
  openedAtMs: number;
  /** Monotonic milliseconds at which it lapses unless renewed. */
  expiresAtMs: number;
}

interface Waiter {
  tryAdmit: () => boolean;
  /** Work above a share, served after all other. */
  spare: boolean;
}

/** Milliseconds that an admission lives without being renewed. */
export const ADMISSION_TTL_MS = 30_000;
/** The same once the entry node is held dead. */
const DEAD_ENTRY_TTL_MS = 2_000;

/** The open admissions of one endpoint, kept by its owner. */
export class EndpointLedger {
  readonly endpointId: string;
  readonly #admissions = new Map<bigint, Admission>();
  #waiters: Waiter[] = [];

  constructor({ endpointId }: { endpointId: string }) {
    this.endpointId = endpointId;
  }

  /** Open admissions. */
  get inFlight(): number {
    return this.#admissions.size;
  }

  /** Whether a suspect request is open. */
  get runsSuspect(): boolean {
    return [...this.#admissions.values()].some(({ suspect }) => suspect);
  }

  /** Requests that wait for admission. */
  get waiting(): number {
    return this.#waiters.length;
  }

  /** Opens an admission; the caller has checked the limit. */
  open(admission: Admission, { limit }: { limit: number }): void {
    const known = this.#admissions.has(admission.id);
    this.#admissions.set(admission.id, admission);
    invariant(
      "admission.never_above_limit",
      known || this.#admissions.size <= limit,
      { endpoint: this.endpointId, inFlight: this.#admissions.size, limit },
    );
  }

  /** Takes note of an admission granted elsewhere or before. */
  announce(admission: Admission): void {
    const known = this.#admissions.get(admission.id);
    const { suspect, openedAtMs } = known ?? admission;
    this.#admissions.set(admission.id, { ...admission, suspect, openedAtMs });
  }

  /** Whether the admission is open. */
  has(id: bigint): boolean {
    return this.#admissions.has(id);
  }

  /** Ends an admission; returns it if it was open. */
  close(id: bigint): Admission | undefined {
    const admission = this.#admissions.get(id);
    if (this.#admissions.delete(id)) {
      this.wake();
    }
    return admission;
  }

  /** The admissions of a node that is held dead lapse soon. */
  entryDied(nodeId: string, nowMs: number): void {
    for (const admission of this.#admissions.values()) {
      if (admission.entryNodeId === nodeId) {
        admission.expiresAtMs = Math.min(
          admission.expiresAtMs,
          nowMs + DEAD_ENTRY_TTL_MS,
        );
      }
    }
  }

  /** Drops admissions that were not renewed; returns how many. */
  expire(nowMs: number): number {
    let expired = 0;
    for (const { id, expiresAtMs } of this.#admissions.values()) {
      if (expiresAtMs <= nowMs) {
        this.#admissions.delete(id);
        expired += 1;
      }
    }
    if (expired > 0) {
      this.wake();
    }
    return expired;
  }

  /** Admissions opened after a time, monotonic milliseconds. */
  openedAfter(timeMs: number): number {
    return this.all().filter(({ openedAtMs }) => openedAtMs > timeMs).length;
  }

  /** All open admissions. */
  all(): Admission[] {
    return [...this.#admissions.values()];
  }

  /** Adds a waiter; returns the function that takes it out again. */
  wait(
    tryAdmit: () => boolean,
    { spare }: { spare: boolean },
  ): () => void {
    const waiter = { tryAdmit, spare };
    this.#waiters.push(waiter);
    return () => {
      this.#waiters = this.#waiters.filter((other) => other !== waiter);
    };
  }

  /** Lets every waiter try again: work within shares first, then by age. */
  wake(): void {
    const inOrder = [
      ...this.#waiters.filter(({ spare }) => !spare),
      ...this.#waiters.filter(({ spare }) => spare),
    ];
    for (const waiter of inOrder) {
      if (waiter.tryAdmit()) {
        this.#waiters = this.#waiters.filter((other) => other !== waiter);
      }
    }
  }
}
