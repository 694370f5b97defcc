/** State of a rollout, as operators read it. */
export type RolloutState = "running" | "completed" | "rolled_back";

/** An order to move the traffic of a service to a software version. */
export interface RolloutOrder {
  service: string;
  /** The software version to move to. */
  target: string;
  /** Time allowed, milliseconds. */
  durationMs: number;
  /** Revision of the store at which it was given. */
  revision: number;
}

/** What the store says of the rollout of a service. */
export interface RolloutStatus {
  /** Undefined if it can't be read. */
  state: RolloutState | undefined;
  /** Revision of the store at which it was written. */
  revision: number;
}

/** Bounds on what a version may get before it is known to be good. */
export interface ExposureLimits {
  /** Part of the requests to the service, `[0, 1]`. */
  share: number;
  /** Requests of the whole fleet in addition. */
  slack: number;
}

/** Answers of one version on one route: cumulative counts, so that the larger of
 * two states of a cell is the later one. */
export interface AnswerCell {
  route: string;
  /** Group of the target's endpoints that answered, or `OTHER_GROUP`. */
  group: number;
  answered: number;
  failed: number;
  /** Answers by their duration, in steps of half an octave. */
  buckets: readonly number[];
}

/** Group of all endpoints that don't have the target's version. */
export const OTHER_GROUP = -1;

/** What one start of a node knows of a rollout by itself. */
export interface RolloutReport {
  service: string;
  /** Revision of the order. */
  order: number;
  /** Unique to each start of a node. */
  source: string;
  /** Increases with each report of the source. */
  sequence: number;
  /** Whether the source sends nothing to other versions any more. */
  isSwitched: boolean;
  /** Requests of the source in flight at endpoints of other versions. */
  otherInFlight: number;
  /** Whether the source knows that the version is bad. */
  isBad: boolean;
  /** Time since the order, milliseconds. */
  ageMs: number;
  cells: readonly AnswerCell[];
}
