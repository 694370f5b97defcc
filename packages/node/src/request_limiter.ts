import { RouterError } from "@limpetshed/errors";

/** Options of {@linkcode RequestLimiter}. */
export interface RequestLimiterOptions {
  /** Maximum number of concurrent requests. */
  maxConcurrent: number;
  /** Maximum number of concurrent requests of one member. */
  maxPerMember: number;
}

const RETRY_AFTER_MS = 1_000;

/**
 * Limits concurrent requests, in total and per member, and lets a graceful
 * shutdown wait for the open ones.
 */
export class RequestLimiter {
  readonly #options: RequestLimiterOptions;
  readonly #byMember = new Map<string, number>();
  #open = 0;
  #idleWaiters: (() => void)[] = [];

  constructor(options: RequestLimiterOptions) {
    this.#options = options;
  }

  /** Requests open now. */
  get open(): number {
    return this.#open;
  }

  /**
   * Admits a request of a member; the returned function must be called when the
   * request ends.
   *
   * @throws RouterError `too_many_requests`.
   */
  acquire(member: string): () => void {
    const { maxConcurrent, maxPerMember } = this.#options;
    const openOfMember = this.#byMember.get(member) ?? 0;
    if (this.#open >= maxConcurrent || openOfMember >= maxPerMember) {
      throw new RouterError(
        "too_many_requests",
        "too many requests are open at once",
        { retryAfterMs: RETRY_AFTER_MS },
      );
    }
    this.#open += 1;
    this.#byMember.set(member, openOfMember + 1);
    let released = false;
    return () => {
      if (!released) {
        released = true;
        this.#release(member);
      }
    };
  }

  /** Resolves when no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.#open > 0) {
      await new Promise<void>((resolve) => this.#idleWaiters.push(resolve));
    }
  }

  #release(member: string): void {
    this.#open -= 1;
    const openOfMember = (this.#byMember.get(member) ?? 1) - 1;
    if (openOfMember === 0) {
      this.#byMember.delete(member);
    } else {
      this.#byMember.set(member, openOfMember);
    }
    if (this.#open === 0) {
      const waiting = this.#idleWaiters;
      this.#idleWaiters = [];
      waiting.forEach((resolve) => resolve());
    }
  }
}
