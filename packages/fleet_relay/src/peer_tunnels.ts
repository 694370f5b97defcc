import type { Clock } from "@limpetshed/base";
import {
  askTunnelEnd,
  openTunnel,
  type TunnelOutcome,
} from "@limpetshed/fleet";
import {
  type HelperTunnel,
  HelperTunnels,
  TunnelError,
} from "@limpetshed/relay";
import type { HelperSelector } from "./helper_selector.ts";

/** Options of {@linkcode PeerTunnels}. */
export interface PeerTunnelsOptions {
  clock: Clock;
  /** IP address of this node. */
  ownIp: string;
  selector: HelperSelector;
  onTunnel: (outcome: TunnelOutcome) => void;
}

/** Helpers asked one after the other. */
const MAX_HELPERS = 4;
/** Time for one helper to connect; many round trips between zones. */
const HELPER_TIMEOUT_MS = 150;

/** Connects to endpoints by way of other nodes of the fleet. */
export class PeerTunnels extends HelperTunnels {
  readonly #options: PeerTunnelsOptions;

  constructor(options: PeerTunnelsOptions) {
    super();
    this.#options = options;
  }

  async open(
    address: string,
    { signal }: { signal: AbortSignal },
  ): Promise<HelperTunnel> {
    const { clock, ownIp, selector, onTunnel } = this.#options;
    const outcomes: TunnelOutcome[] = [];
    for (const helper of selector.candidates(MAX_HELPERS)) {
      if (signal.aborted) {
        break;
      }
      const result = await openTunnel({
        clock,
        ownIp,
        helper: helper.callAddress,
        target: address,
        timeoutMs: HELPER_TIMEOUT_MS,
        signal,
      });
      onTunnel(result.outcome);
      if (result.outcome === "open") {
        selector.recordSuccess(helper.id);
        const { socket, id } = result;
        const confirmEnd = () =>
          id === undefined ? Promise.resolve(false) : askTunnelEnd({
            clock,
            helper: helper.callAddress,
            id,
            timeoutMs: HELPER_TIMEOUT_MS,
          });
        return { socket, confirmEnd };
      }
      selector.recordFailure(helper.id);
      outcomes.push(result.outcome);
    }
    // Nodes that take no tunnel say nothing about the endpoint.
    const tries = outcomes.filter((outcome) => outcome !== "unavailable");
    throw new TunnelError(
      tries.length === 0
        ? "no_helper"
        : tries.every((outcome) => outcome === "refused")
        ? "refused"
        : "unreachable",
    );
  }
}
