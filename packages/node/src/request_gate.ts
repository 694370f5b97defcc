import { RouterError } from "@limpetshed/errors";

/** Options of {@linkcode RequestGate}. */
export interface RequestGateOptions {
  /** Most requests open at once. */
  maxConcurrent: number;
  /** Most requests of one member open at once. */
  maxPerMember: number;
}

const RETRY_AFTER_MS = 1_000;

/** Bounds the requests open at once, and counts them for a planned stop. */
export class RequestGate {
  readonly #options: RequestGateOptions;
  readonly #byMember = new Map<string, number>();
  #open = 0;
  #onIdle: (() => void)[] = [];

  constructor(options: RequestGateOptions) {
    this.#options = options;
  }

  /** Requests open now. */
  get open(): number {
    return this.#open;
  }

  /** Lets one request of a member in; the result must be called at its end. */
  enter(member: string): () => void {
    const { maxConcurrent, maxPerMember } = this.#options;
    const own = this.#byMember.get(member) ?? 0;
    if (this.#open >= maxConcurrent || own >= maxPerMember) {
      throw new RouterError(
        "too_many_requests",
        "too many requests are open at once",
        { retryAfterMs: RETRY_AFTER_MS },
      );
    }
    this.#open += 1;
    this.#byMember.set(member, own + 1);
    let left = false;
    return () => {
      if (!left) {
        left = true;
        this.#leave(member);
      }
    };
  }

  /** Resolves when no request is open. */
  async idle(): Promise<void> {
    if (this.#open > 0) {
      await new Promise<void>((resolve) => this.#onIdle.push(resolve));
    }
  }

  #leave(member: string): void {
    this.#open -= 1;
    const own = (this.#byMember.get(member) ?? 1) - 1;
    if (own === 0) {
      this.#byMember.delete(member);
    } else {
      this.#byMember.set(member, own);
    }
    if (this.#open === 0) {
      const waiting = this.#onIdle;
      this.#onIdle = [];
      waiting.forEach((resolve) => resolve());
    }
  }
}
