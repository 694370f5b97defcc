import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { Membership, OwnerMap } from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import { peerpb, type PeerTransport } from "@limpetshed/peer";
import { budgetKey, type BudgetOwner, budgetRegion } from "./budget_owner.ts";

/** Options of {@linkcode BudgetClient}. */
export interface BudgetClientOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  membership: Membership;
  owners: OwnerMap;
  transport: PeerTransport;
  /** This node's own budget owner, called directly without the transport. */
  localOwner: BudgetOwner;
}

/** Outcome of a reservation. */
export interface Reservation {
  /** Whether the member's share covers the request. */
  withinShare: boolean;
  /** Milliseconds before a retry; 0 if the share covers the request. */
  retryAfterMs: number;
}

interface LocalGrant {
  /** Unspent granted tokens; negative if requests cost more than estimated. */
  balance: number;
  lastUsedAtMs: number;
  pendingRequest: Promise<number> | undefined;
  /** Monotonic time in milliseconds of the next allowed grant request. */
  retryAtMs: number;
}

const CALL_TIMEOUT_MS = 300;
/**
 * Number of reservations that a grant is requested for, so that most
 * reservations need no call to the budget's owner.
 */
const RESERVATIONS_PER_GRANT = 4;
/** Time without a reservation after which a grant is returned. */
const IDLE_GRANT_TIMEOUT_MS = 3_000;
const RETURN_INTERVAL_MS = 1_000;
const MIN_RETRY_DELAY_MS = 50;
/** Retry delay while nodes disagree about the budget's owner. */
const NOT_OWNER_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** Reserves tokens of members' shares; obtains them from the budget owners. */
export class BudgetClient {
  readonly #options: BudgetClientOptions;
  readonly #grants = new Map<string, LocalGrant>();
  #returnTimer: RepeatingTask | undefined;

  constructor(options: BudgetClientOptions) {
    this.#options = options;
  }

  /** Starts returning idle grants to their owners. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#returnTimer = repeat(clock, () => this.#returnIdle(), {
      intervalMs: RETURN_INTERVAL_MS,
      onError: (err) => logger.warn({ err }, "failed to return idle grants"),
    });
  }

  /** Number of members with a grant on this node. */
  get size(): number {
    return this.#grants.size;
  }

  /** Reserves `tokens` of the member's share if it covers them. */
  async reserve(member: string, tokens: number): Promise<Reservation> {
    const { clock } = this.#options;
    const grant = this.#getOrCreateGrant(member);
    grant.lastUsedAtMs = clock.monotonicMs();
    if (grant.balance < tokens && grant.retryAtMs <= grant.lastUsedAtMs) {
      grant.pendingRequest ??= this.#requestGrant(member, grant, tokens)
        .finally(() => {
          grant.pendingRequest = undefined;
        });
      await grant.pendingRequest;
    }
    if (grant.balance < tokens) {
      const waitMs = grant.retryAtMs - clock.monotonicMs();
      return {
        withinShare: false,
        retryAfterMs: Math.max(MIN_RETRY_DELAY_MS, waitMs),
      };
    }
    grant.balance -= tokens;
    return { withinShare: true, retryAfterMs: 0 };
  }

  /** Corrects a reservation once the request's actual cost is known. */
  settle(member: string, { reserved, spent }: {
    reserved: number;
    spent: number;
  }): void {
    this.#options.metrics.count("share.spent", spent);
    this.#getOrCreateGrant(member).balance += reserved - spent;
  }

  /** Stops the timer and returns all unspent tokens. */
  async close(): Promise<void> {
    await this.#returnTimer?.close();
    await Promise.all(
      [...this.#grants].map(([member, grant]) =>
        this.#returnGrant(member, grant)
      ),
    );
  }

  #getOrCreateGrant(member: string): LocalGrant {
    let grant = this.#grants.get(member);
    if (grant === undefined) {
      grant = {
        balance: 0,
        lastUsedAtMs: this.#options.clock.monotonicMs(),
        pendingRequest: undefined,
        retryAtMs: 0,
      };
      this.#grants.set(member, grant);
    }
    return grant;
  }

  async #requestGrant(
    member: string,
    grant: LocalGrant,
    tokens: number,
  ): Promise<number> {
    const wanted = Math.ceil(RESERVATIONS_PER_GRANT * tokens - grant.balance);
    const res = await this.#callOwner(member, { wanted, returned: 0 });
    const granted = res?.granted ?? 0;
    grant.balance += granted;
    if (granted < wanted) {
      grant.retryAtMs = this.#options.clock.monotonicMs() + retryDelayMs(res);
    }
    return granted;
  }

  async #callOwner(
    member: string,
    { wanted, returned }: { wanted: number; returned: number },
  ): Promise<peerpb.GrantResponse | undefined> {
    const { membership, owners, transport, localOwner } = this.#options;
    const region = budgetRegion(membership, member);
    const owner = owners.lookupOwnerUncached(region, budgetKey(member));
    const message = create(peerpb.GrantRequestSchema, {
      member,
      wanted,
      returned,
    });
    if (owner === undefined) {
      return undefined;
    }
    if (owner === membership.self.id) {
      return localOwner.grant(message);
    }
    const address = membership.node(owner)?.address ?? "";
    try {
      return await transport.call(address, "grantRequest", {
        message,
        timeoutMs: CALL_TIMEOUT_MS,
      });
    } catch {
      membership.reportUnreachable(owner);
      return undefined;
    }
  }

  async #returnIdle(): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const idle = [...this.#grants].filter(([, grant]) =>
      nowMs - grant.lastUsedAtMs > IDLE_GRANT_TIMEOUT_MS &&
      grant.pendingRequest === undefined
    );
    for (const [member, grant] of idle) {
      await this.#returnGrant(member, grant);
    }
  }

  /**
   * Returns a grant's whole unspent tokens to the owner. A grant with a negative
   * balance is kept until later grants cover it.
   */
  async #returnGrant(member: string, grant: LocalGrant): Promise<void> {
    if (grant.balance < 0) {
      return;
    }
    this.#grants.delete(member);
    const returned = Math.floor(grant.balance);
    if (returned > 0) {
      await this.#callOwner(member, { wanted: 0, returned });
    }
  }
}

/** Milliseconds before the next grant request. */
function retryDelayMs(res: peerpb.GrantResponse | undefined): number {
  if (res === undefined) {
    return MAX_RETRY_DELAY_MS;
  }
  return res.notOwner ? NOT_OWNER_RETRY_DELAY_MS : Math.max(
    MIN_RETRY_DELAY_MS,
    Math.min(MAX_RETRY_DELAY_MS, res.retryAfterMs),
  );
}
