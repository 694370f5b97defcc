import { type Clock, type Deferred, deferred } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";

/** The head position of a member's queue. */
export interface QueueSlot {
  /** Passes the head position to the member's next request. */
  release(): void;
}

/** Options of {@linkcode MemberQueue}. */
export interface MemberQueueOptions {
  clock: Clock;
  /** Maximum number of waiting requests per member. */
  maxPerMember?: number;
}

/**
 * Queues requests that wait for a share or for idle capacity, in one bounded
 * queue per member. Only the head of a queue retries, and all heads retry at
 * the same rate, so a member with many requests delays only itself.
 */
export class MemberQueue {
  readonly #clock: Clock;
  readonly #maxPerMember: number;
  readonly #queues = new Map<string, Deferred<void>[]>();

  constructor({ clock, maxPerMember = 64 }: MemberQueueOptions) {
    this.#clock = clock;
    this.#maxPerMember = maxPerMember;
  }

  /** Number of a member's waiting requests, including the head. */
  sizeOf(member: string): number {
    return this.#queues.get(member)?.length ?? 0;
  }

  /**
   * Waits until the request is at the head of its member's queue.
   *
   * @throws RouterError `queue_full` immediately if the queue is full,
   *   `share_exhausted` after `maxWaitMs`, `caller_cancelled` on abort.
   */
  async acquire(member: string, { maxWaitMs, signal }: {
    maxWaitMs: number;
    signal: AbortSignal;
  }): Promise<QueueSlot> {
    const queue = this.#queues.get(member) ?? [];
    if (queue.length >= this.#maxPerMember) {
      throw new RouterError(
        "queue_full",
        "too many requests of this member are waiting",
        { retryAfterMs: maxWaitMs },
      );
    }
    const waiter = deferred<void>();
    queue.push(waiter);
    this.#queues.set(member, queue);
    if (queue[0] === waiter) {
      waiter.resolve();
    }
    const timer = this.#clock.setTimer(
      maxWaitMs,
      () => waiter.reject(shareExhaustedError(maxWaitMs)),
    );
    const onAbort = () => waiter.reject(callerCancelledError());
    signal.addEventListener("abort", onAbort, { once: true });
    try {
      await waiter.promise;
    } catch (err) {
      this.#remove(member, waiter);
      throw err;
    } finally {
      timer.cancel();
      signal.removeEventListener("abort", onAbort);
    }
    return { release: () => this.#remove(member, waiter) };
  }

  #remove(member: string, waiter: Deferred<void>): void {
    const queue = this.#queues.get(member);
    const index = queue?.indexOf(waiter) ?? -1;
    if (queue === undefined || index < 0) {
      return;
    }
    queue.splice(index, 1);
    if (queue.length === 0) {
      this.#queues.delete(member);
    }
    queue[0]?.resolve();
  }
}

/** Error for a request above its member's share when no capacity is idle. */
export function shareExhaustedError(retryAfterMs: number): RouterError {
  return new RouterError(
    "share_exhausted",
    "the member's share is spent and no capacity is idle",
    { retryAfterMs },
  );
}

function callerCancelledError(): RouterError {
  return new RouterError(
    "caller_cancelled",
    "the caller went away",
    { run: "not-run" },
  );
}
