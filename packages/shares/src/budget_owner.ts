import { create } from "@bufbuild/protobuf";
import { type Clock, invariant, TokenBucket } from "@limpetshed/base";
import { rendezvousFirst } from "@limpetshed/hashing";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import { type PeerHandlers, peerpb } from "@limpetshed/peer";

/** A member's share of the budget. */
export interface MemberShare {
  /** Tokens per second. */
  share: number;
  /** Tokens that may be spent at once; defaults to 10 seconds of the share. */
  burst?: number;
}

/** Options of {@linkcode BudgetOwner}. */
export interface BudgetOwnerOptions {
  clock: Clock;
  membership: Membership;
  owners: OwnerMap;
  handlers: PeerHandlers;
  /** Returns a member's share; undefined for an unknown member. */
  shareOf: (member: string) => MemberShare | undefined;
}

const DEFAULT_BURST_SECONDS = 10;
const MAX_RETRY_AFTER_MS = 60_000;
const IDLE_EXPIRY_MS = 120_000;
const GRANTS_PER_SWEEP = 1_024;

interface OwnedBudget {
  bucket: TokenBucket;
  memberShare: MemberShare;
  lastUsedAtMs: number;
  /** Tokens granted minus tokens returned, since `startedAtMs`. */
  grantedTokens: number;
  /** When the bucket was created or last reconfigured. */
  startedAtMs: number;
}

/** Capacity of a member's bucket in tokens. */
export function burstTokens({ share, burst }: MemberShare): number {
  return burst ?? share * DEFAULT_BURST_SECONDS;
}

/**
 * Returns the region that owns a member's budget. It depends only on the set
 * of known regions, so that partitioned regions never both own the budget.
 */
export function budgetRegion(membership: Membership, member: string): string {
  const regions = new Set(membership.nodes().map((view) => view.region));
  return rendezvousFirst(`budget-region\u0000${member}`, [...regions]) ??
    membership.self.region;
}

/** Keeps the token buckets of the members whose budgets this node owns. */
export class BudgetOwner {
  readonly #options: BudgetOwnerOptions;
  readonly #budgets = new Map<string, OwnedBudget>();
  #grantCount = 0;

  constructor(options: BudgetOwnerOptions) {
    this.#options = options;
    options.handlers.on("grantRequest", (req) => this.grant(req));
  }

  /** Number of members whose bucket is kept on this node. */
  get size(): number {
    return this.#budgets.size;
  }

  /** Grants up to the wanted tokens, after crediting the returned ones. */
  grant(req: peerpb.GrantRequest): peerpb.GrantResponse {
    const { clock, owners, membership } = this.#options;
    const region = budgetRegion(membership, req.member);
    const owner = owners.lookupOwnerUncached(region, budgetKey(req.member));
    if (owner !== membership.self.id) {
      this.#budgets.delete(req.member);
      return create(peerpb.GrantResponseSchema, { notOwner: true });
    }
    const nowMs = clock.monotonicMs();
    const budget = this.#getOrCreateBudget(req.member, nowMs);
    if (budget === undefined) {
      return create(peerpb.GrantResponseSchema, {
        retryAfterMs: MAX_RETRY_AFTER_MS,
      });
    }
    budget.bucket.refund(req.returned, nowMs);
    const granted = budget.bucket.take(req.wanted, nowMs);
    budget.grantedTokens += granted - req.returned;
    budget.lastUsedAtMs = nowMs;
    this.#checkGrantedTokens(req.member, budget, nowMs);
    this.#removeIdle(nowMs);
    const waitMs = budget.bucket.waitMs(req.wanted - granted, nowMs);
    return create(peerpb.GrantResponseSchema, {
      granted,
      retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, waitMs)),
    });
  }

  #getOrCreateBudget(member: string, nowMs: number): OwnedBudget | undefined {
    const memberShare = this.#options.shareOf(member);
    if (memberShare === undefined) {
      this.#budgets.delete(member);
      return undefined;
    }
    const existing = this.#budgets.get(member);
    if (existing !== undefined) {
      this.#applyShare(existing, memberShare, nowMs);
      return existing;
    }
    const budget: OwnedBudget = {
      memberShare,
      lastUsedAtMs: nowMs,
      startedAtMs: nowMs,
      grantedTokens: 0,
      bucket: new TokenBucket({
        ratePerSecond: memberShare.share,
        burst: burstTokens(memberShare),
        tokens: 0,
        nowMs,
      }),
    };
    this.#budgets.set(member, budget);
    return budget;
  }

  #applyShare(
    budget: OwnedBudget,
    memberShare: MemberShare,
    nowMs: number,
  ): void {
    const { share, burst } = budget.memberShare;
    if (memberShare.share === share && memberShare.burst === burst) {
      return;
    }
    budget.bucket.configure({
      ratePerSecond: memberShare.share,
      burst: burstTokens(memberShare),
      nowMs,
    });
    budget.memberShare = memberShare;
    budget.startedAtMs = nowMs;
    budget.grantedTokens = 0;
  }

  /** Asserts that no more was granted than share and burst allow. */
  #checkGrantedTokens(
    member: string,
    budget: OwnedBudget,
    nowMs: number,
  ): void {
    const seconds = (nowMs - budget.startedAtMs) / 1_000;
    const most = budget.memberShare.share * seconds +
      burstTokens(budget.memberShare) + 1;
    invariant("share.granted_within_share", budget.grantedTokens <= most, {
      member,
      granted: budget.grantedTokens,
      most,
    });
  }

  /** Removes idle members' buckets; a new bucket starts empty. */
  #removeIdle(nowMs: number): void {
    this.#grantCount += 1;
    if (this.#grantCount % GRANTS_PER_SWEEP !== 0) {
      return;
    }
    for (const [member, { lastUsedAtMs }] of this.#budgets) {
      if (nowMs - lastUsedAtMs > IDLE_EXPIRY_MS) {
        this.#budgets.delete(member);
      }
    }
  }
}

/** Rendezvous key of a member's budget. */
export function budgetKey(member: string): string {
  return `budget\u0000${member}`;
}
