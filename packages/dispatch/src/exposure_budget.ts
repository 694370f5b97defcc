import type { ExposureLimits } from "./rollout_report.ts";

/** Options of {@linkcode ExposureBudget}. */
export interface ExposureBudgetOptions {
  limits: ExposureLimits;
  nodeId: string;
  /** Ids of all nodes that may be running, including this one. */
  nodeIds: () => readonly string[];
  /** Whether this node has a part of the slack: one that started after the order
   * has none, since its predecessor may have used it. */
  hasSlack: boolean;
}

/**
 * Bounds the requests that one node sends to a version that may be bad. It counts
 * the requests of this node only, so that the sum over all nodes keeps the bound
 * without any message between them.
 */
export class ExposureBudget {
  readonly #options: ExposureBudgetOptions;
  #requests = 0;
  #exposed = 0;

  constructor(options: ExposureBudgetOptions) {
    this.#options = options;
  }

  /** Requests sent to the version. */
  get exposed(): number {
    return this.#exposed;
  }

  /** Counts a request to the service. */
  record({ isExposed }: { isExposed: boolean }): void {
    this.#requests += 1;
    if (isExposed) {
      this.#exposed += 1;
    }
  }

  /** Whether one more request keeps to `part` of the bound. */
  allows(part: number): boolean {
    const { limits: { share } } = this.#options;
    return this.#exposed + 1 <=
      part * share * this.#requests + this.#slack(part);
  }

  /** This node's whole requests of the slack: nodes take them in turn, by id. */
  #slack(part: number): number {
    const { limits: { slack }, nodeId, nodeIds, hasSlack } = this.#options;
    if (!hasSlack) {
      return 0;
    }
    const ids = nodeIds();
    const total = Math.floor(part * slack);
    const place = ids.filter((id) => id < nodeId).length;
    return Math.floor(total / ids.length) +
      (place < total % ids.length ? 1 : 0);
  }
}
