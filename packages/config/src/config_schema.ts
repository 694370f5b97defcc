import { z } from "zod";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

const nameSchema = z.string().regex(NAME_PATTERN, {
  error: "expected 1 to 64 letters, digits, '_' or '-'",
});

/** A member: its keys, the services it may call and its share. */
export const memberSchema = z.strictObject({
  /** SHA-256 digests of the member's keys, hexadecimal. */
  keys: z.array(
    z.string().regex(DIGEST_PATTERN, {
      error: "expected a SHA-256 digest in lower-case hexadecimal",
    }),
  ).max(8),
  services: z.array(nameSchema).max(64),
  /** Prompt and generated tokens per second. */
  share: z.number().nonnegative(),
  /** Tokens that may be spent at once after an idle period. */
  burst: z.number().positive().optional(),
});

const coldStartSchema = z.strictObject({
  /** Requests that a cold endpoint may run concurrently. */
  initial: z.int().positive().default(1),
  /** Completed requests that raise this limit by one. */
  completed_per_step: z.int().positive().default(4),
});

const loadedStateSchema = z.strictObject({
  model: z.string(),
  version: z.string().default(""),
  adapters: z.array(z.string()).default([]),
  role: z.string().default("serve"),
});

const operationSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/),
  /** Prefix of the matching paths; the longest match applies. */
  path_prefix: z.string().startsWith("/"),
  /** Whether the call may safely run more than once. */
  repeatable: z.boolean(),
  /** Whether the call requires an idempotency key. */
  key_required: z.boolean().default(false),
});

/** A service: the limits and guarantees of its endpoints. */
export const serviceSchema = z.strictObject({
  kind: z.enum(["model", "plain"]),
  /** Bound on an endpoint's load as a multiple of the mean load. */
  load_multiple: z.number().min(1).default(2),
  /** Maximum number of requests in flight at one endpoint. */
  max_in_flight: z.int().positive().default(64),
  /** Fraction of `max_in_flight` for requests that exceed a member's share. */
  spare_part: z.number().min(0).max(1).default(0.7),
  cold_start: coldStartSchema.prefault({}),
  /** Prefill time of one uncached prompt token, in milliseconds. */
  prefill_ms_per_token: z.number().nonnegative().default(0.2),
  /** Whether endpoints refuse orders with an outdated fencing number. */
  checks_fencing: z.boolean().default(false),
  /** Validity of an order in milliseconds. */
  order_valid_ms: z.int().positive().default(10_000),
  /** Desired state of every endpoint of the service. */
  wanted: loadedStateSchema.optional(),
  /** Operations of a plain service; other calls are not repeatable. */
  operations: z.array(operationSchema).max(64).default([]),
});

const zoneSchema = z.strictObject({
  /** New requests are sent only to zones that are `in`. */
  state: z.enum(["in", "out"]),
});

const budgetSchema = z.strictObject({
  /** Upper limit on the sum of all shares, in tokens per second. */
  tokens_per_second: z.number().positive(),
});

/** Everything except the members; small enough to keep parsed on every node. */
export const baseSchema = z.strictObject({
  budget: budgetSchema,
  services: z.record(nameSchema, serviceSchema),
  availability_zones: z.record(nameSchema, zoneSchema),
});

/** The complete configuration document. */
export const documentSchema = baseSchema.extend({
  members: z.record(nameSchema, memberSchema),
});

/** A member of the configuration. */
export type Member = z.infer<typeof memberSchema>;
/** A service of the configuration. */
export type Service = z.infer<typeof serviceSchema>;
/** A kind of call to a plain service. */
export type Operation = z.infer<typeof operationSchema>;
/** Everything except the members. */
export type ConfigBase = z.infer<typeof baseSchema>;
/** The complete document as written by operators. */
export type ConfigDocument = z.input<typeof documentSchema>;

/** The configuration before the first patch, version 0. */
export const EMPTY_BASE: ConfigBase = {
  budget: { tokens_per_second: 1 },
  services: {},
  availability_zones: {},
};

/** Describes the faults found by a schema, one line each. */
export function describeFaults(
  error: z.ZodError,
  prefix: readonly string[] = [],
): string[] {
  return error.issues.flatMap((issue) => {
    const path = [...prefix, ...issue.path.map(String)];
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        `${[...path, key].join(".")}: unknown key`
      );
    }
    return [`${path.join(".") || "document"}: ${issue.message}`];
  });
}
