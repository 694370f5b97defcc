import { create } from "@bufbuild/protobuf";
import { type Clock, invariant } from "@limpetshed/base";
import { rendezvousFirst } from "@limpetshed/hashing";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import { type PeerHandlers, peerpb } from "@limpetshed/peer";
import { TokenBucket } from "./token_bucket.ts";

/** Share of one member. */
export interface ShareTerms {
  /** Tokens a second. */
  share: number;
  /** Tokens that may be spent at once; defaults to some seconds' share. */
  burst?: number;
}

/** Options of {@linkcode BudgetOwner}. */
export interface BudgetOwnerOptions {
  clock: Clock;
  membership: Membership;
  owners: OwnerMap;
  handlers: PeerHandlers;
  /** Share of a member; undefined for an unknown member. */
  terms: (member: string) => ShareTerms | undefined;
}

const DEFAULT_BURST_SECONDS = 10;
const MAX_WAIT_MS = 60_000;
const IDLE_KEPT_MS = 120_000;
const SWEEP_EVERY = 1_024;

interface OwnedBudget {
  bucket: TokenBucket;
  terms: ShareTerms;
  usedAtMs: number;
  grantedTotal: number;
  startedAtMs: number;
}

/** Burst of a member's bucket in tokens. */
export function burstOf({ share, burst }: ShareTerms): number {
  return burst ?? share * DEFAULT_BURST_SECONDS;
}

/**
 * The region that keeps a member's budget: fixed by the set of known regions,
 * so that regions cut off from each other never both keep it.
 */
export function budgetRegion(membership: Membership, member: string): string {
  const regions = new Set(membership.nodes().map((view) => view.region));
  return rendezvousFirst(`budget-region\u0000${member}`, [...regions]) ??
    membership.self.region;
}

/** Keeps the token buckets of the members that this node answers for. */
export class BudgetOwner {
  readonly #options: BudgetOwnerOptions;
  readonly #budgets = new Map<string, OwnedBudget>();
  #grants = 0;

  constructor(options: BudgetOwnerOptions) {
    this.#options = options;
    options.handlers.on("grantRequest", (req) => this.grant(req));
  }

  /** Members whose bucket is kept here. */
  get size(): number {
    return this.#budgets.size;
  }

  /** Grants up to the wanted tokens. */
  grant(req: peerpb.GrantRequest): peerpb.GrantResponse {
    const { clock, owners, membership } = this.#options;
    const region = budgetRegion(membership, req.member);
    const owner = owners.lookupOwnerUncached(region, budgetKey(req.member));
    if (owner !== membership.self.id) {
      this.#budgets.delete(req.member);
      return create(peerpb.GrantResponseSchema, { notOwner: true });
    }
    const nowMs = clock.monotonicMs();
    const budget = this.#budget(req.member, nowMs);
    if (budget === undefined) {
      return create(peerpb.GrantResponseSchema, { retryAfterMs: MAX_WAIT_MS });
    }
    budget.bucket.giveBack(req.returned, nowMs);
    const granted = budget.bucket.take(req.wanted, nowMs);
    budget.grantedTotal += granted - req.returned;
    budget.usedAtMs = nowMs;
    this.#check(req.member, budget, nowMs);
    this.#sweep(nowMs);
    const waitMs = budget.bucket.waitMs(req.wanted - granted, nowMs);
    return create(peerpb.GrantResponseSchema, {
      granted,
      retryAfterMs: Math.ceil(Math.min(MAX_WAIT_MS, waitMs)),
    });
  }

  #budget(member: string, nowMs: number): OwnedBudget | undefined {
    const terms = this.#options.terms(member);
    if (terms === undefined) {
      this.#budgets.delete(member);
      return undefined;
    }
    const known = this.#budgets.get(member);
    if (known !== undefined) {
      this.#applyTerms(known, terms, nowMs);
      return known;
    }
    const budget: OwnedBudget = {
      terms,
      usedAtMs: nowMs,
      startedAtMs: nowMs,
      grantedTotal: 0,
      bucket: new TokenBucket({
        ratePerSecond: terms.share,
        burst: burstOf(terms),
        tokens: 0,
        nowMs,
      }),
    };
    this.#budgets.set(member, budget);
    return budget;
  }

  #applyTerms(budget: OwnedBudget, terms: ShareTerms, nowMs: number): void {
    const { share, burst } = budget.terms;
    if (terms.share === share && terms.burst === burst) {
      return;
    }
    budget.bucket.configure({
      ratePerSecond: terms.share,
      burst: burstOf(terms),
      nowMs,
    });
    budget.terms = terms;
    budget.startedAtMs = nowMs;
    budget.grantedTotal = 0;
  }

  #check(member: string, budget: OwnedBudget, nowMs: number): void {
    const seconds = (nowMs - budget.startedAtMs) / 1_000;
    const most = budget.terms.share * seconds + burstOf(budget.terms) + 1;
    invariant("share.granted_within_share", budget.grantedTotal <= most, {
      member,
      granted: budget.grantedTotal,
      most,
    });
  }

  /** Forgets members that have been idle; their buckets start empty again. */
  #sweep(nowMs: number): void {
    this.#grants += 1;
    if (this.#grants % SWEEP_EVERY !== 0) {
      return;
    }
    for (const [member, { usedAtMs }] of this.#budgets) {
      if (nowMs - usedAtMs > IDLE_KEPT_MS) {
        this.#budgets.delete(member);
      }
    }
  }
}

/** Rendezvous key of a member's budget. */
export function budgetKey(member: string): string {
  return `budget\u0000${member}`;
}
