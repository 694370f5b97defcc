import type { Clock } from "@limpetshed/base";
import { rendezvousFirst } from "@limpetshed/hashing";

/** Part of a node's share of an endpoint's limit that another node uses. */
export interface ShareLoan {
  /** Key of the endpoint. */
  endpoint: string;
  /** Fraction of the rate. */
  rateFraction: number;
  /** Requests at once. */
  burst: number;
}

/** An endpoint of whose limit a node lacks a share. */
export interface ShareNeed {
  /** Key of the endpoint. */
  endpoint: string;
  /** Number of shares that the node has all the same, its own and loans. */
  shareCount: number;
  /** Time since it had any, or since it began to lack one, milliseconds. */
  waitedMs: number;
}

/** A share that may be lent. */
export interface LendableShare extends ShareLoan {
  /** Whether the node has not used the share lately. */
  isUnused: boolean;
  /** Whether there are fewer shares than nodes, so that nodes take turns. */
  isScarce: boolean;
  /** Time in which the share allows one request, milliseconds. */
  requestIntervalMs: number;
}

interface GivenLoan {
  loan: ShareLoan;
  borrower: string;
  sinceMs: number;
}

interface PeerNeed {
  shareCount: number;
  /** Monotonic time since which the node has been without a share. */
  waitingSinceMs: number;
  /** Monotonic time of the message that told it. */
  heardMs: number;
}

interface TakenLoan {
  loan: ShareLoan;
  /** Monotonic time of the last message that had it. */
  heardMs: number;
}

/** How long a node counts as in need of a share that it lacked. */
const NEED_MS = 2_000;
/** How long a loan holds after the last message that had it; covers some lost
 * datagrams. */
const LOAN_MS = 1_000;
/** Turn of a borrower while others are in need too, or of the lender itself. */
const MIN_TURN_MS = 4_000;
/** Requests that a turn allows at least; it begins without any. */
const TURN_REQUESTS = 4;
/** Fraction of an unused rate that is lent. */
const LENT_FRACTION = 0.75;
/** Endpoints named as needed in one broadcast round; the latest ones. */
const MAX_NEEDS = 6;

/**
 * Lends shares of endpoints' limits that this node does not use to nodes that
 * lack them. Lenders stop using what they lend before the borrower begins, so the
 * shares never add up to more than the limit, but for the time after a loan has
 * ended in which the borrower does not know it.
 */
export class ShareLoans {
  readonly #clock: Clock;
  /** Monotonic times at which this node lacked a share, by endpoint key. */
  readonly #ownNeedsMs = new Map<string, number>();
  /** Needs of other nodes, by endpoint key and node id. */
  readonly #peerNeeds = new Map<string, Map<string, PeerNeed>>();
  readonly #given = new Map<string, GivenLoan>();
  /** Monotonic time of this node's last turn, by endpoint key. */
  readonly #ownTurnMs = new Map<string, number>();
  /** Monotonic time since which this node has been without a share, by endpoint
   * key. */
  readonly #waitingSinceMs = new Map<string, number>();
  /** Loans to this node, by endpoint key and lender. */
  readonly #taken = new Map<string, Map<string, TakenLoan>>();
  /** Borrowers whose loans have ended since the last round. */
  #ended = new Set<string>();

  readonly #nodeId: string;
  readonly #peerTimeoutMs: () => number;

  constructor({ clock, nodeId, peerTimeoutMs }: {
    clock: Clock;
    nodeId: string;
    /** Time without a message from another node after which what it said last no
     * longer holds. */
    peerTimeoutMs: () => number;
  }) {
    this.#clock = clock;
    this.#nodeId = nodeId;
    this.#peerTimeoutMs = peerTimeoutMs;
  }

  /** Records that this node lacked a share of the endpoint's limit. */
  recordNeed(endpoint: string): void {
    const now = this.#clock.monotonicMs();
    this.#ownNeedsMs.delete(endpoint);
    this.#ownNeedsMs.set(endpoint, now);
    if (!this.#waitingSinceMs.has(endpoint)) {
      this.#waitingSinceMs.set(endpoint, now);
    }
  }

  /** Time since this node had a loan of the endpoint's limit or began to lack a
   * share, milliseconds. */
  waitedMs(endpoint: string): number {
    const now = this.#clock.monotonicMs();
    return now - (this.#waitingSinceMs.get(endpoint) ?? now);
  }

  /** The endpoints of which this node lacked a share lately, latest first. */
  needs(): string[] {
    const recent = [...this.#ownNeedsMs.keys()]
      .filter((endpoint) => this.#isInNeed(endpoint));
    return recent.reverse().slice(0, MAX_NEEDS);
  }

  /** Records the endpoints of which another node lacked a share. */
  applyPeerNeeds(nodeId: string, needs: readonly ShareNeed[]): void {
    const heardMs = this.#clock.monotonicMs();
    for (const { endpoint, shareCount, waitedMs } of needs) {
      const byNode = this.#peerNeeds.get(endpoint) ??
        new Map<string, PeerNeed>();
      const waitingSinceMs = heardMs - waitedMs;
      byNode.set(nodeId, { shareCount, waitingSinceMs, heardMs });
      this.#peerNeeds.set(endpoint, byNode);
    }
  }

  /** Replaces the loans that another node gives to this one. */
  applyLoans(lender: string, loans: readonly ShareLoan[]): void {
    const heardMs = this.#clock.monotonicMs();
    for (const [endpoint, byLender] of this.#taken) {
      byLender.delete(lender);
      if (byLender.size === 0) {
        this.#taken.delete(endpoint);
      }
    }
    for (const loan of loans) {
      const byLender = this.#taken.get(loan.endpoint) ??
        new Map<string, TakenLoan>();
      byLender.set(lender, { loan, heardMs });
      this.#waitingSinceMs.set(loan.endpoint, heardMs);
      this.#taken.set(loan.endpoint, byLender);
    }
  }

  /** Number of loans of an endpoint's limit to this node. */
  takenCount(endpoint: string): number {
    const oldestMs = this.#clock.monotonicMs() - LOAN_MS;
    return [...this.#taken.get(endpoint)?.values() ?? []]
      .filter(({ heardMs }) => heardMs > oldestMs).length;
  }

  /** What this node has borrowed less what it has lent of an endpoint's limit. */
  balance(endpoint: string): { rateFraction: number; burst: number } {
    const balance = { rateFraction: 0, burst: 0 };
    const oldestMs = this.#clock.monotonicMs() - LOAN_MS;
    for (const { loan, heardMs } of this.#taken.get(endpoint)?.values() ?? []) {
      if (heardMs > oldestMs) {
        balance.rateFraction += loan.rateFraction;
        balance.burst += loan.burst;
      }
    }
    const lent = this.#given.get(endpoint)?.loan;
    balance.rateFraction -= lent?.rateFraction ?? 0;
    balance.burst -= lent?.burst ?? 0;
    return balance;
  }

  /** Begins and ends loans, given this node's shares of the limits in force.
   * Returns the loans by borrower, none for one whose last loan has ended. */
  nextRound(shares: readonly LendableShare[]): Map<string, ShareLoan[]> {
    const endpoints = new Set(shares.map(({ endpoint }) => endpoint));
    this.#forgetOldNeeds(endpoints);
    for (const endpoint of this.#given.keys()) {
      if (!endpoints.has(endpoint)) {
        this.#end(endpoint);
      }
    }
    shares.forEach((share) => this.#updateLoan(share));
    const byBorrower = new Map<string, ShareLoan[]>(
      [...this.#ended].map((borrower) => [borrower, []]),
    );
    this.#ended = new Set();
    for (const { loan, borrower } of this.#given.values()) {
      byBorrower.set(borrower, [...byBorrower.get(borrower) ?? [], loan]);
    }
    return byBorrower;
  }

  /** Discards the state of a removed endpoint or of one without a limit. */
  forget(endpoint: string): void {
    this.#end(endpoint);
    this.#ownNeedsMs.delete(endpoint);
    this.#peerNeeds.delete(endpoint);
    this.#ownTurnMs.delete(endpoint);
    this.#waitingSinceMs.delete(endpoint);
    this.#taken.delete(endpoint);
  }

  /** Discards needs of other nodes that this node cannot meet, and its own old
   * ones. */
  #forgetOldNeeds(lendable: ReadonlySet<string>): void {
    for (const endpoint of this.#peerNeeds.keys()) {
      if (!lendable.has(endpoint)) {
        this.#peerNeeds.delete(endpoint);
      }
    }
    for (const endpoint of this.#ownNeedsMs.keys()) {
      if (!this.#isInNeed(endpoint)) {
        this.#ownNeedsMs.delete(endpoint);
      }
    }
  }

  #updateLoan(share: LendableShare): void {
    const { endpoint } = share;
    const now = this.#clock.monotonicMs();
    const needing = this.#peersInNeed(endpoint);
    const given = this.#given.get(endpoint);
    if (given !== undefined) {
      const isTurnOver = now - given.sinceMs >= turnMs(share);
      const isNeeded = needing.includes(given.borrower);
      const isWanted = this.#isInNeed(endpoint) || needing.length > 1;
      // A scarce share moves only after a turn: what it has saved up is lost.
      const mayStay = share.isScarce
        ? !isTurnOver || isNeeded && !isWanted
        : isNeeded && !this.#isInNeed(endpoint) &&
          !(isTurnOver && needing.length > 1);
      if (mayStay) {
        return;
      }
      this.#end(endpoint);
    }
    const borrower = this.#nextBorrower(share, needing);
    if (borrower !== undefined) {
      const fraction = share.isScarce ? 1 : LENT_FRACTION;
      const loan = {
        endpoint,
        rateFraction: fraction * share.rateFraction,
        burst: share.isScarce ? share.burst : 0,
      };
      this.#given.set(endpoint, { loan, borrower, sinceMs: now });
    }
  }

  /** The node to lend the share to; undefined if this node keeps it. A scarce share
   * goes round among all nodes in need, this one included. */
  #nextBorrower(
    share: LendableShare,
    needing: readonly string[],
  ): string | undefined {
    const { endpoint, isUnused, isScarce, rateFraction } = share;
    const isNeededHere = this.#isInNeed(endpoint);
    if (
      rateFraction <= 0 || needing.length === 0 ||
      (!isScarce && (isNeededHere || !isUnused))
    ) {
      return undefined;
    }
    const now = this.#clock.monotonicMs();
    const ownTurnMs = this.#ownTurnMs.get(endpoint) ?? -Infinity;
    if (isNeededHere && now - ownTurnMs < turnMs(share)) {
      return undefined;
    }
    const peer = this.#longestWaiting(endpoint, needing);
    const need = this.#peerNeeds.get(endpoint)!.get(peer)!;
    if (
      isNeededHere && (need.shareCount > 0 || ownTurnMs < need.waitingSinceMs)
    ) {
      this.#ownTurnMs.set(endpoint, now);
      return undefined;
    }
    return peer;
  }

  /** One of the nodes that have the fewest shares and have waited for at least half
   * as long as any of them. Each lender has an order of its own, so that they do
   * not all choose the same one. */
  #longestWaiting(endpoint: string, nodes: readonly string[]): string {
    const now = this.#clock.monotonicMs();
    const needs = this.#peerNeeds.get(endpoint)!;
    const fewest = Math.min(
      ...nodes.map((node) => needs.get(node)!.shareCount),
    );
    const poorest = nodes.filter((node) =>
      needs.get(node)!.shareCount === fewest
    );
    const waitedMs = (node: string) => now - needs.get(node)!.waitingSinceMs;
    const longestMs = Math.max(...poorest.map(waitedMs));
    const waiting = poorest.filter((node) => waitedMs(node) >= longestMs / 2);
    return rendezvousFirst(`${endpoint}/${this.#nodeId}`, waiting)!;
  }

  #end(endpoint: string): void {
    const given = this.#given.get(endpoint);
    if (given !== undefined) {
      this.#given.delete(endpoint);
      this.#ended.add(given.borrower);
    }
  }

  #isInNeed(endpoint: string): boolean {
    const needMs = this.#ownNeedsMs.get(endpoint);
    return needMs !== undefined &&
      this.#clock.monotonicMs() - needMs <= NEED_MS;
  }

  #peersInNeed(endpoint: string): string[] {
    const oldestMs = this.#clock.monotonicMs() - this.#peerTimeoutMs();
    return [...this.#peerNeeds.get(endpoint) ?? []]
      .filter(([, { heardMs }]) => heardMs >= oldestMs)
      .map(([nodeId]) => nodeId);
  }
}

function turnMs({ requestIntervalMs }: LendableShare): number {
  return Math.max(MIN_TURN_MS, TURN_REQUESTS * requestIntervalMs);
}
