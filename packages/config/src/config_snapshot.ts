import { Buffer } from "node:buffer";
import {
  type Bucket,
  bucketIndexOf,
  decodeBucket,
  encodeBucket,
} from "./bucket.ts";
import {
  BUCKET_COUNT,
  type ConfigHead,
  contentDigest,
  headDigest,
} from "./config_head.ts";
import {
  type ConfigBase,
  type ConfigDocument,
  EMPTY_BASE,
  type Member,
  type Service,
} from "./config_schema.ts";

const MAX_PARSED_BUCKETS = 16;

/**
 * One version of the configuration. Members stay in their encoded chunks,
 * outside the garbage-collected heap, and are parsed on demand.
 */
export class ConfigSnapshot {
  readonly head: ConfigHead;
  readonly base: ConfigBase;
  readonly chunks: readonly Buffer[];
  /** Sum of the members' shares in each bucket. */
  readonly bucketShares: readonly number[];
  readonly #parsedBuckets = new Map<number, Bucket>();
  #digest: string | undefined;

  constructor({ head, base, chunks, bucketShares }: {
    head: ConfigHead;
    base: ConfigBase;
    chunks: readonly Buffer[];
    bucketShares: readonly number[];
  }) {
    this.head = head;
    this.base = base;
    this.chunks = chunks;
    this.bucketShares = bucketShares;
  }

  /** Number of this version; 0 before the first patch. */
  get version(): number {
    return this.head.version;
  }

  /** Digest of the head. */
  get digest(): string {
    this.#digest ??= headDigest(this.head);
    return this.#digest;
  }

  /** Returns a member; undefined if there is none with this name. */
  member(name: string): Member | undefined {
    const bucket = this.bucket(bucketIndexOf(name));
    return Object.hasOwn(bucket, name) ? bucket[name] : undefined;
  }

  /** Returns a service; undefined if there is none with this name. */
  service(name: string): Service | undefined {
    const { services } = this.base;
    return Object.hasOwn(services, name) ? services[name] : undefined;
  }

  /** Whether an availability zone accepts new requests. */
  isZoneIn(zone: string): boolean {
    const zones = this.base.availability_zones;
    return Object.hasOwn(zones, zone) && zones[zone]?.state === "in";
  }

  /** Returns the members of one bucket. */
  bucket(index: number): Bucket {
    const cached = this.#parsedBuckets.get(index);
    if (cached !== undefined) {
      return cached;
    }
    const bucket = decodeBucket(this.chunks[index]!);
    this.#parsedBuckets.set(index, bucket);
    if (this.#parsedBuckets.size > MAX_PARSED_BUCKETS) {
      const [oldest] = this.#parsedBuckets.keys();
      this.#parsedBuckets.delete(oldest!);
    }
    return bucket;
  }

  /** Builds the complete document. */
  document(): ConfigDocument {
    const members: Record<string, Member> = {};
    for (const chunk of this.chunks) {
      Object.assign(members, decodeBucket(chunk));
    }
    return { ...this.base, members };
  }
}

/** Sums the shares of a bucket's members. */
export function sumShares(bucket: Bucket): number {
  return Object.values(bucket).reduce((sum, { share }) => sum + share, 0);
}

/** Encodes everything except the members. */
export function encodeBase(base: ConfigBase): Buffer {
  return Buffer.from(JSON.stringify(base), "utf8");
}

/** Creates version 0: no members, services or availability zones. */
export function emptySnapshot(): ConfigSnapshot {
  const chunk = encodeBucket({});
  const digest = contentDigest(chunk);
  return new ConfigSnapshot({
    head: {
      version: 0,
      base: contentDigest(encodeBase(EMPTY_BASE)),
      buckets: Array.from({ length: BUCKET_COUNT }, () => digest),
      patches: [],
      retired: [],
    },
    base: EMPTY_BASE,
    chunks: Array.from({ length: BUCKET_COUNT }, () => chunk),
    bucketShares: Array.from({ length: BUCKET_COUNT }, () => 0),
  });
}
