import { Buffer } from "node:buffer";
import { constants, gzipSync } from "node:zlib";
import {
  comparePositions,
  type KeyMirror,
  type StorePosition,
} from "@limpetshed/mirror";

/** Encoded update in JSON. */
export interface EncodedUpdate {
  identity: Buffer;
  /** The same, compressed; undefined if the update is too small for that. */
  gzip: Buffer | undefined;
}

/** Compressing fewer bytes takes longer than sending them. */
const MIN_GZIP_BYTES = 4_096;

/**
 * Encodes the changes after a revision for the nodes that follow this one.
 * Followers usually are at the same revision, so the latest encoding is kept
 * and a large update is compressed once, not once per follower.
 */
export class UpdateEncoder {
  readonly #mirror: KeyMirror;
  #latest:
    | { after: StorePosition; position: StorePosition; update: EncodedUpdate }
    | undefined;

  constructor({ mirror }: { mirror: KeyMirror }) {
    this.#mirror = mirror;
  }

  /** Encodes the changes after a position, or a snapshot. */
  encodeChangesAfter(after: StorePosition): EncodedUpdate {
    const { position } = this.#mirror;
    const latest = this.#latest;
    if (
      latest !== undefined && comparePositions(latest.after, after) === 0 &&
      comparePositions(latest.position, position) === 0
    ) {
      return latest.update;
    }
    const identity = Buffer.from(
      JSON.stringify(this.#mirror.changesAfter(after)),
    );
    const gzip = identity.length < MIN_GZIP_BYTES
      ? undefined
      : gzipSync(identity, { level: constants.Z_BEST_SPEED });
    const update = { identity, gzip };
    this.#latest = { after, position, update };
    return update;
  }
}
