import { invariant } from "@limpetshed/base";
import { LRUCache } from "lru-cache";

/** State of a claim that this node made. */
export type LocalClaimState =
  /** The claim is being written, or its call may be sent or is running. */
  | "running"
  /** The call was not sent and never will be. */
  | "abandoned"
  /** The call was sent; its outcome is known or recorded as unknown. */
  | "finished";

const MAX_CLAIMS = 50_000;

/**
 * States of the claims that this node made, kept in memory. Other nodes act on
 * them, so `abandoned` and `finished` are final.
 */
export class LocalClaims {
  readonly #states = new LRUCache<string, LocalClaimState>({
    max: MAX_CLAIMS,
  });
  readonly #sent = new LRUCache<string, true>({ max: MAX_CLAIMS });

  /** Registers a claim before it is written to the store. */
  begin(claimId: string): void {
    this.#states.set(claimId, "running");
  }

  /** Records that the call is about to be sent; checks that it never was. */
  markSent(claimId: string): void {
    const state = this.#states.get(claimId);
    invariant("claim.before_send", state === "running", { claimId, state });
    invariant("claim.sent_once", !this.#sent.has(claimId), { claimId });
    this.#sent.set(claimId, true);
  }

  /** Records that the call was not sent and never will be. */
  markAbandoned(claimId: string): void {
    this.#states.set(claimId, "abandoned");
  }

  /** Records that the call was sent and has ended. */
  markFinished(claimId: string): void {
    this.#states.set(claimId, "finished");
  }

  /** Returns the state of a claim; undefined after a restart or eviction. */
  state(claimId: string): LocalClaimState | undefined {
    return this.#states.get(claimId);
  }
}
