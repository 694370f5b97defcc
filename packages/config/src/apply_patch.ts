import type { Buffer } from "node:buffer";
import { RouterError } from "@limpetshed/errors";
import { type Bucket, bucketIndexOf, encodeBucket } from "./bucket.ts";
import {
  CHUNK_RETENTION_VERSIONS,
  type ConfigHead,
  contentDigest,
  headDigest,
  MAX_RECENT_PATCHES,
  type PatchRecord,
} from "./config_head.ts";
import { isObject, type Json, mergePatch } from "./merge_patch.ts";
import {
  baseSchema,
  type ConfigBase,
  describeFaults,
  type Member,
  memberSchema,
} from "./config_schema.ts";
import { ConfigSnapshot, encodeBase, sumShares } from "./config_snapshot.ts";

/** The version that a patch produces, and the chunks to add and delete. */
export interface PatchResult {
  snapshot: ConfigSnapshot;
  /** New chunks by digest. */
  added: ReadonlyMap<string, Buffer>;
  /** Digests of chunks that can be deleted now. */
  chunksToDelete: readonly string[];
}

/** Identifies a patch, so that a repeat can be detected. */
export interface PatchIdentity {
  id: string;
  /** Digest of the patch's JSON text. */
  fingerprint: string;
}

const BASE_KEYS = ["budget", "services", "availability_zones"] as const;
const MAX_REPORTED_FAULTS = 50;

/**
 * Applies a merge patch to a version, validates the result and builds the next
 * version. Deterministic: the same patch on the same version yields the same
 * bytes on every node.
 *
 * @throws RouterError `config_invalid` with the faults found, at most
 *   `MAX_REPORTED_FAULTS`.
 */
export function applyPatch(
  current: ConfigSnapshot,
  patch: Json,
  { identity }: { identity: PatchIdentity },
): PatchResult {
  const faults: string[] = [];
  const base = patchBase(current.base, patch, faults);
  const buckets = patchMembers(current, patch, faults);
  checkReferences(current, base, buckets, faults);
  const shares = sumBucketShares(current, buckets);
  checkShares(base, shares, faults);
  if (faults.length > 0) {
    throw new RouterError("config_invalid", "the patch is not valid", {
      faults: faults.slice(0, MAX_REPORTED_FAULTS),
    });
  }
  return buildResult(current, { base, buckets, shares, identity });
}

/** Applies an accepted patch from its record and verifies the digest. */
export function replayRecord(
  current: ConfigSnapshot,
  record: PatchRecord,
): ConfigSnapshot {
  const identity = {
    id: record.id,
    fingerprint: contentDigest(record.patch),
  };
  const patch = JSON.parse(record.patch) as Json;
  const { snapshot } = applyPatch(current, patch, { identity });
  const matches = snapshot.version === record.version &&
    headDigest(snapshot.head) === record.headDigest;
  if (!matches) {
    throw new RouterError(
      "internal",
      "a patch record led elsewhere",
    );
  }
  return snapshot;
}

function patchBase(
  current: ConfigBase,
  patch: Json,
  faults: string[],
): ConfigBase {
  if (!isObject(patch)) {
    faults.push("document: a patch must be an object");
    return current;
  }
  const known = new Set<string>([...BASE_KEYS, "members"]);
  for (const key of Object.keys(patch)) {
    if (!known.has(key)) {
      faults.push(`${key}: unknown key`);
    }
  }
  const basePatch = Object.fromEntries(
    BASE_KEYS.flatMap((key) =>
      patch[key] === undefined ? [] : [[key, patch[key]]]
    ),
  );
  const merged = mergePatch(current, basePatch);
  const result = baseSchema.safeParse(merged);
  if (!result.success) {
    faults.push(...describeFaults(result.error));
    return current;
  }
  return result.data;
}

function patchMembers(
  current: ConfigSnapshot,
  patch: Json,
  faults: string[],
): Map<number, Bucket> {
  const buckets = new Map<number, Bucket>();
  const members = isObject(patch) ? patch["members"] : undefined;
  if (members === undefined) {
    return buckets;
  }
  if (!isObject(members)) {
    faults.push("members: expected an object");
    return buckets;
  }
  for (const [name, value] of Object.entries(members)) {
    const index = bucketIndexOf(name);
    const bucket = { ...(buckets.get(index) ?? current.bucket(index)) };
    const merged = patchMember(bucket[name], { name, value, faults });
    if (merged === undefined) {
      delete bucket[name];
    } else {
      bucket[name] = merged;
    }
    buckets.set(index, bucket);
  }
  return buckets;
}

const MEMBER_NAME = /^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$/;

function patchMember(
  current: Member | undefined,
  { name, value, faults }: { name: string; value: Json; faults: string[] },
): Member | undefined {
  if (value === null) {
    return undefined;
  }
  if (!MEMBER_NAME.test(name)) {
    faults.push(`members.${name.slice(0, 80)}: not a valid name`);
    return current;
  }
  const merged = mergePatch(current, value);
  const result = memberSchema.safeParse(merged);
  if (!result.success) {
    faults.push(...describeFaults(result.error, ["members", name]));
    return current;
  }
  return result.data;
}

function checkReferences(
  current: ConfigSnapshot,
  base: ConfigBase,
  buckets: ReadonlyMap<number, Bucket>,
  faults: string[],
): void {
  const hasRemovedService = Object.keys(current.base.services).some((name) =>
    !Object.hasOwn(base.services, name)
  );
  // A removed service may be named by members that the patch does not change.
  const indexes = hasRemovedService
    ? current.chunks.map((_, index) => index)
    : [...buckets.keys()];
  for (const index of indexes) {
    const bucket = buckets.get(index) ?? current.bucket(index);
    for (const [name, member] of Object.entries(bucket)) {
      for (const service of member.services) {
        if (!Object.hasOwn(base.services, service)) {
          faults.push(`members.${name}.services: no service ${service}`);
        }
      }
    }
  }
}

function sumBucketShares(
  current: ConfigSnapshot,
  buckets: ReadonlyMap<number, Bucket>,
): number[] {
  return current.bucketShares.map((share, index) => {
    const bucket = buckets.get(index);
    return bucket === undefined ? share : sumShares(bucket);
  });
}

function checkShares(
  base: ConfigBase,
  shares: readonly number[],
  faults: string[],
): void {
  const total = shares.reduce((sum, share) => sum + share, 0);
  const budget = base.budget.tokens_per_second;
  if (total > budget) {
    faults.push(
      `members: the shares sum to ${total} of a budget of ${budget}`,
    );
  }
}

function buildResult(
  current: ConfigSnapshot,
  { base, buckets, shares, identity }: {
    base: ConfigBase;
    buckets: ReadonlyMap<number, Bucket>;
    shares: readonly number[];
    identity: PatchIdentity;
  },
): PatchResult {
  const version = current.version + 1;
  const added = new Map<string, Buffer>();
  const replaced: string[] = [];
  const baseChunk = encodeBase(base);
  const baseDigest = contentDigest(baseChunk);
  if (baseDigest !== current.head.base) {
    added.set(baseDigest, baseChunk);
    replaced.push(current.head.base);
  }
  const chunks = [...current.chunks];
  const digests = [...current.head.buckets];
  for (const [index, bucket] of buckets) {
    const chunk = encodeBucket(bucket);
    const digest = contentDigest(chunk);
    if (digest !== digests[index]) {
      replaced.push(digests[index]!);
      added.set(digest, chunk);
      chunks[index] = chunk;
      digests[index] = digest;
    }
  }
  const used = new Set([baseDigest, ...digests]);
  const { retired, chunksToDelete } = retireChunks(current.head, replaced, {
    version,
    used,
  });
  const head: ConfigHead = {
    version,
    base: baseDigest,
    buckets: digests,
    patches: [...current.head.patches, { ...identity, version }].slice(
      -MAX_RECENT_PATCHES,
    ),
    retired,
  };
  const snapshot = new ConfigSnapshot({
    head,
    base,
    chunks,
    bucketShares: shares,
  });
  return { snapshot, added, chunksToDelete };
}

/** Retires replaced chunks and lists those retired long enough to delete. */
function retireChunks(
  head: ConfigHead,
  replaced: readonly string[],
  { version, used }: { version: number; used: ReadonlySet<string> },
): { retired: ConfigHead["retired"]; chunksToDelete: string[] } {
  const entries = [
    ...head.retired,
    ...replaced.map((digest) => ({ digest, version })),
  ].filter((entry) => !used.has(entry.digest));
  const newestExpiredVersion = version - CHUNK_RETENTION_VERSIONS;
  const retired = entries.filter((entry) =>
    entry.version > newestExpiredVersion
  );
  const retained = new Set(retired.map((entry) => entry.digest));
  const chunksToDelete = entries
    .filter((entry) =>
      entry.version <= newestExpiredVersion && !retained.has(entry.digest)
    )
    .map((entry) => entry.digest);
  return { retired, chunksToDelete };
}
