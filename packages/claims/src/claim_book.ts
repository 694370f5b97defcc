import { invariant } from "@limpetshed/base";
import { LRUCache } from "lru-cache";

/** What this node knows of a claim that it made. */
export type OwnClaimState =
  /** The claim may yet be sent, or was. */
  | "running"
  /** Not sent, and never will be. */
  | "abandoned"
  /** Sent; the outcome is known or recorded as unknown. */
  | "finished";

const MAX_CLAIMS = 50_000;

/** The claims of this node; what is said of one here is never taken back. */
export class ClaimBook {
  readonly #states = new LRUCache<string, OwnClaimState>({ max: MAX_CLAIMS });
  readonly #sent = new LRUCache<string, true>({ max: MAX_CLAIMS });

  /** A claim is about to be written. */
  begin(claimId: string): void {
    this.#states.set(claimId, "running");
  }

  /** The call is about to be sent under the claim. */
  send(claimId: string): void {
    const state = this.#states.get(claimId);
    invariant("claim.before_send", state === "running", { claimId, state });
    invariant("claim.sent_once", !this.#sent.has(claimId), { claimId });
    this.#sent.set(claimId, true);
  }

  /** The call was not sent and never will be under this claim. */
  abandon(claimId: string): void {
    this.#states.set(claimId, "abandoned");
  }

  /** The call was sent. */
  finish(claimId: string): void {
    this.#states.set(claimId, "finished");
  }

  /** State of a claim; undefined if this node does not know it. */
  state(claimId: string): OwnClaimState | undefined {
    return this.#states.get(claimId);
  }
}
