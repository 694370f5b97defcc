import { z } from "zod";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

const nameSchema = z.string().regex(NAME_PATTERN, {
  error: "expected 1 to 64 letters, digits, '_' or '-'",
});

/** One member: who it is, what it may call, what share it holds. */
export const memberSchema = z.strictObject({
  /** SHA-256 digests of the member's keys, hexadecimal. */
  keys: z.array(
    z.string().regex(DIGEST_PATTERN, {
      error: "expected a SHA-256 digest in lower-case hexadecimal",
    }),
  ).max(8),
  services: z.array(nameSchema).max(64),
  /** Tokens (prompt and generated) a second. */
  share: z.number().nonnegative(),
  /** Tokens that may be spent at once after a quiet time. */
  burst: z.number().positive().optional(),
});

const coldStartSchema = z.strictObject({
  /** Requests a cold endpoint bears at once. */
  initial: z.int().positive().default(1),
  /** Completed requests per further request that it bears. */
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
  /** Paths that start with this text; the longest match counts. */
  path_prefix: z.string().startsWith("/"),
  /** Running the call twice does no harm. */
  repeatable: z.boolean(),
  /** The call runs only under an idempotency key. */
  key_required: z.boolean().default(false),
});

/** One service: what its endpoints bear and promise. */
export const serviceSchema = z.strictObject({
  kind: z.enum(["model", "plain"]),
  /** Bound on an endpoint's load as a multiple of the mean load. */
  load_multiple: z.number().min(1).default(2),
  /** Most requests open at once on one endpoint. */
  max_in_flight: z.int().positive().default(64),
  /** Part of `max_in_flight` that work above a share may use. */
  spare_part: z.number().min(0).max(1).default(0.7),
  cold_start: coldStartSchema.prefault({}),
  /** Milliseconds an endpoint takes to read one prompt token anew. */
  prefill_ms_per_token: z.number().nonnegative().default(0.2),
  /** Endpoints refuse orders with an old fencing number. */
  checks_fencing: z.boolean().default(false),
  /** Validity of an order in milliseconds. */
  order_valid_ms: z.int().positive().default(10_000),
  /** What every endpoint of the service shall have loaded. */
  wanted: loadedStateSchema.optional(),
  /** Calls of a plain service; others are not repeatable. */
  operations: z.array(operationSchema).max(64).default([]),
});

const zoneSchema = z.strictObject({
  /** New work may go there. */
  state: z.enum(["in", "out"]),
});

const budgetSchema = z.strictObject({
  /** Tokens a second that all shares together may not exceed. */
  tokens_per_second: z.number().positive(),
});

/** Everything but the members; small, and held whole by every node. */
export const baseSchema = z.strictObject({
  budget: budgetSchema,
  services: z.record(nameSchema, serviceSchema),
  availability_zones: z.record(nameSchema, zoneSchema),
});

/** The whole configuration document. */
export const documentSchema = baseSchema.extend({
  members: z.record(nameSchema, memberSchema),
});

/** One member. */
export type Member = z.infer<typeof memberSchema>;
/** One service. */
export type Service = z.infer<typeof serviceSchema>;
/** One kind of call of a plain service. */
export type Operation = z.infer<typeof operationSchema>;
/** Everything but the members. */
export type ConfigBase = z.infer<typeof baseSchema>;
/** The whole document as operators write it. */
export type ConfigDocument = z.input<typeof documentSchema>;

/** The configuration before the first patch, version 0. */
export const EMPTY_BASE: ConfigBase = {
  budget: { tokens_per_second: 1 },
  services: {},
  availability_zones: {},
};

/** Describes the faults that a schema found, one line each. */
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
