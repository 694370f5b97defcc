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
  /** The owner role of this node, asked without a message. */
  local: BudgetOwner;
}

/** Outcome of a reservation. */
export interface Reservation {
  /** The work is within the member's share. */
  withinShare: boolean;
  /** Milliseconds until the share would cover it. */
  retryAfterMs: number;
}

interface LocalGrant {
  /** Tokens granted and not spent; negative when work cost more than thought. */
  balance: number;
  usedAtMs: number;
  asking: Promise<number> | undefined;
  /** No use asking before this time, monotonic milliseconds. */
  askAgainAtMs: number;
}

const CALL_TIMEOUT_MS = 300;
/** Reservations asked for at once, so that most need no message. */
const GRANT_AHEAD = 4;
const IDLE_RETURN_MS = 3_000;
const RETURN_INTERVAL_MS = 1_000;
const SHORTEST_PAUSE_MS = 50;
/** Pause while nodes disagree about who keeps the budget. */
const DISAGREEMENT_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_000;

/** Spends members' shares at the node that holds the callers. */
export class BudgetClient {
  readonly #options: BudgetClientOptions;
  readonly #grants = new Map<string, LocalGrant>();
  #returning: RepeatingTask | undefined;

  constructor(options: BudgetClientOptions) {
    this.#options = options;
  }

  /** Starts returning grants that lie idle. */
  start(): void {
    const { clock, logger } = this.#options;
    this.#returning = repeat(clock, () => this.#returnIdle(), {
      intervalMs: RETURN_INTERVAL_MS,
      onError: (err) => logger.warn({ err }, "grants not returned"),
    });
  }

  /** Members with a grant here. */
  get size(): number {
    return this.#grants.size;
  }

  /** Takes `tokens` from the member's share, if it covers them. */
  async reserve(member: string, tokens: number): Promise<Reservation> {
    const { clock } = this.#options;
    const grant = this.#grant(member);
    grant.usedAtMs = clock.monotonicMs();
    if (grant.balance < tokens && grant.askAgainAtMs <= grant.usedAtMs) {
      grant.asking ??= this.#ask(member, grant, tokens).finally(() => {
        grant.asking = undefined;
      });
      await grant.asking;
    }
    if (grant.balance < tokens) {
      const waitMs = grant.askAgainAtMs - clock.monotonicMs();
      return {
        withinShare: false,
        retryAfterMs: Math.max(SHORTEST_PAUSE_MS, waitMs),
      };
    }
    grant.balance -= tokens;
    return { withinShare: true, retryAfterMs: 0 };
  }

  /** Corrects a reservation once the work's true cost is known. */
  settle(member: string, { reserved, spent }: {
    reserved: number;
    spent: number;
  }): void {
    this.#options.metrics.count("share.spent", spent);
    this.#grant(member).balance += reserved - spent;
  }

  /** Returns everything unspent. */
  async close(): Promise<void> {
    await this.#returning?.close();
    await Promise.all(
      [...this.#grants].map(([member, grant]) => this.#return(member, grant)),
    );
  }

  #grant(member: string): LocalGrant {
    let grant = this.#grants.get(member);
    if (grant === undefined) {
      grant = {
        balance: 0,
        usedAtMs: this.#options.clock.monotonicMs(),
        asking: undefined,
        askAgainAtMs: 0,
      };
      this.#grants.set(member, grant);
    }
    return grant;
  }

  async #ask(
    member: string,
    grant: LocalGrant,
    tokens: number,
  ): Promise<number> {
    const wanted = Math.ceil(GRANT_AHEAD * tokens - grant.balance);
    const res = await this.#call(member, { wanted, returned: 0 });
    const granted = res?.granted ?? 0;
    grant.balance += granted;
    if (granted < wanted) {
      grant.askAgainAtMs = this.#options.clock.monotonicMs() + pauseAfter(res);
    }
    return granted;
  }

  async #call(
    member: string,
    { wanted, returned }: { wanted: number; returned: number },
  ): Promise<peerpb.GrantResponse | undefined> {
    const { membership, owners, transport, local } = this.#options;
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
      return local.grant(message);
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
      nowMs - grant.usedAtMs > IDLE_RETURN_MS && grant.asking === undefined
    );
    for (const [member, grant] of idle) {
      await this.#return(member, grant);
    }
  }

  /** A debt stays here until the member's next grants have paid it. */
  async #return(member: string, grant: LocalGrant): Promise<void> {
    if (grant.balance < 0) {
      return;
    }
    this.#grants.delete(member);
    const returned = Math.floor(grant.balance);
    if (returned > 0) {
      await this.#call(member, { wanted: 0, returned });
    }
  }
}

/** Milliseconds until it is worth asking again. */
function pauseAfter(res: peerpb.GrantResponse | undefined): number {
  if (res === undefined) {
    return LONGEST_PAUSE_MS;
  }
  return res.notOwner
    ? DISAGREEMENT_PAUSE_MS
    : Math.max(SHORTEST_PAUSE_MS, Math.min(LONGEST_PAUSE_MS, res.retryAfterMs));
}
