import type { Clock } from "@limpetshed/base";

/** How a node reaches an endpoint. */
export type PathState =
  /** Over its own links. */
  | "direct"
  /** By way of another node, as its own links are cut. */
  | "detour";

/** A change of the path to one endpoint, or to all. */
export interface PathChange {
  /** `ip:port`; undefined if the change is about all endpoints. */
  address: string | undefined;
  state: PathState;
  /** Endpoints whose paths are found cut. */
  cutCount: number;
  /** Endpoints tried lately. */
  triedCount: number;
}

/** Options of {@linkcode EndpointPaths}. */
export interface EndpointPathsOptions {
  clock: Clock;
  onChange?: (change: PathChange) => void;
}

/** Time for which the outcome of a connection tells of a path. */
const RECENT_MS = 3_000;
/** Cut paths from which on the node may be cut off from all endpoints: one says
 * more of its endpoint. */
const MIN_CUT_FOR_ALL = 2;
/** Share of the endpoints tried lately whose paths must be cut for the same. */
const CUT_SHARE_FOR_ALL = 0.5;
/** Successful probes in a row that end a detour. */
const PROBES_TO_RECOVER = 2;
const MIN_PROBE_INTERVAL_MS = 500;
/** Hysteresis for links that flap: the interval doubles up to this bound if a path
 * is cut again within `FLAP_WINDOW_MS`. */
const MAX_PROBE_INTERVAL_MS = 4_000;
const FLAP_WINDOW_MS = 10_000;
/** Paths probed at once; bounds the connections to a large service. */
const MAX_PROBED_PATHS = 4;

interface Path {
  state: PathState;
  /** Monotonic time of the last direct connection; negative infinity if none. */
  directOkMs: number;
  /** Monotonic time at which only a helper could connect last. */
  cutMs: number;
  recoveredMs: number;
  probeIntervalMs: number;
  nextProbeMs: number;
  probesPassed: number;
}

/**
 * Decides by which path a node reaches its endpoints. A path counts as cut when a
 * helper established a connection to an endpoint that this node could not: an
 * endpoint that is down, frozen or overloaded answers neither.
 */
export class EndpointPaths {
  readonly #clock: Clock;
  readonly #onChange: (change: PathChange) => void;
  readonly #paths = new Map<string, Path>();
  #isCutOff = false;

  constructor({ clock, onChange = () => {} }: EndpointPathsOptions) {
    this.#clock = clock;
    this.#onChange = onChange;
  }

  /** Whether the node takes all its paths as cut. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Addresses whose paths are cut. */
  get cutAddresses(): string[] {
    return [...this.#paths].filter(([, { state }]) => state === "detour")
      .map(([address]) => address);
  }

  /** The path to try first. */
  stateOf(address: string): PathState {
    const path = this.#paths.get(address);
    if (path?.state === "detour") {
      return "detour";
    }
    const isProven = path !== undefined &&
      this.#clock.monotonicMs() - path.directOkMs <= MIN_PROBE_INTERVAL_MS;
    return this.#isCutOff && !isProven ? "detour" : "direct";
  }

  /** Records that a direct connection was established. */
  recordDirect(address: string): void {
    const path = this.#pathOf(address);
    path.directOkMs = this.#clock.monotonicMs();
  }

  /** Records that a helper connected to an endpoint to which this node cannot. */
  recordCut(address: string): void {
    const now = this.#clock.monotonicMs();
    const path = this.#pathOf(address);
    path.cutMs = now;
    path.probesPassed = 0;
    if (path.state === "direct") {
      path.state = "detour";
      path.probeIntervalMs = now - path.recoveredMs <= FLAP_WINDOW_MS
        ? Math.min(MAX_PROBE_INTERVAL_MS, 2 * path.probeIntervalMs)
        : MIN_PROBE_INTERVAL_MS;
      path.nextProbeMs = now + path.probeIntervalMs;
      this.#report(address, "detour");
      this.#updateCutOff();
    }
  }

  /** Returns the addresses whose direct paths are to be probed now. */
  takeProbes(): string[] {
    const now = this.#clock.monotonicMs();
    const due = [...this.#paths]
      .filter(([, path]) => path.state === "detour" && path.nextProbeMs <= now)
      .sort(([, a], [, b]) => a.nextProbeMs - b.nextProbeMs)
      .slice(0, MAX_PROBED_PATHS);
    due.forEach(([, path]) => {
      path.nextProbeMs = now + path.probeIntervalMs;
    });
    return due.map(([address]) => address);
  }

  /** Records the result of a direct probe. */
  recordProbe(address: string, isConnected: boolean): void {
    const path = this.#paths.get(address);
    if (path?.state !== "detour") {
      return;
    }
    path.probesPassed = isConnected ? path.probesPassed + 1 : 0;
    if (path.probesPassed >= PROBES_TO_RECOVER) {
      this.#recover(address, path);
      this.#updateCutOff();
    }
  }

  /** Discards the state of an address that no endpoint has any more. */
  forget(address: string): void {
    this.#paths.delete(address);
    this.#updateCutOff();
  }

  #recover(address: string, path: Path): void {
    const now = this.#clock.monotonicMs();
    path.state = "direct";
    path.directOkMs = now;
    path.recoveredMs = now;
    this.#report(address, "direct");
  }

  #updateCutOff(): void {
    const { cutCount, triedCount } = this.#counts();
    const isCutOff = cutCount >= MIN_CUT_FOR_ALL &&
      cutCount > CUT_SHARE_FOR_ALL * triedCount;
    if (isCutOff === this.#isCutOff) {
      return;
    }
    this.#isCutOff = isCutOff;
    this.#report(undefined, isCutOff ? "detour" : "direct");
    if (!isCutOff) {
      // The other links are likely to be back as well; each is tried directly
      // first, and raced by a helper if it is not.
      for (const [address, path] of this.#paths) {
        if (path.state === "detour") {
          this.#recover(address, path);
        }
      }
    }
  }

  #counts(): { cutCount: number; triedCount: number } {
    const oldestMs = this.#clock.monotonicMs() - RECENT_MS;
    const paths = [...this.#paths.values()];
    const cutCount = paths.filter(({ state }) => state === "detour").length;
    const directCount =
      paths.filter(({ state, directOkMs, cutMs }) =>
        state === "direct" && directOkMs >= oldestMs && directOkMs > cutMs
      ).length;
    return { cutCount, triedCount: cutCount + directCount };
  }

  #report(address: string | undefined, state: PathState): void {
    this.#onChange({ address, state, ...this.#counts() });
  }

  #pathOf(address: string): Path {
    let path = this.#paths.get(address);
    if (path === undefined) {
      path = {
        state: "direct",
        directOkMs: Number.NEGATIVE_INFINITY,
        cutMs: Number.NEGATIVE_INFINITY,
        recoveredMs: Number.NEGATIVE_INFINITY,
        probeIntervalMs: MIN_PROBE_INTERVAL_MS,
        nextProbeMs: 0,
        probesPassed: 0,
      };
      this.#paths.set(address, path);
    }
    return path;
  }
}
