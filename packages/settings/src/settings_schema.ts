import { z } from "zod";
import { addressSchema, durationSchema, sizeSchema } from "./value_schemas.ts";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

function nameSchema(description: string): z.ZodString {
  return z.string().regex(NAME_PATTERN, {
    error: "expected 1 to 64 letters, digits, '.', '_' or '-'",
  }).describe(description);
}

function filePathSchema(description: string): z.ZodString {
  return z.string().min(1).describe(description);
}

const nodeSection = z.strictObject({
  id: nameSchema("Unique name of this node; a replacement vm needs a new one."),
  region: nameSchema("Region of this node."),
  availability_zone: nameSchema("Availability zone of this node."),
});

const listenSection = z.strictObject({
  callers: addressSchema().describe("Address on which callers connect."),
  operators: addressSchema().describe(
    "Address on which operators and the load balancer connect.",
  ),
  peers: addressSchema().describe("Address on which other nodes connect."),
  advertise_peers: addressSchema().optional().describe(
    "Address that other nodes connect to, if it differs from `peers`.",
  ),
});

const platformSection = z.strictObject({
  store: z.url().describe("URL of the key-value service."),
  vm_list: z.url().describe("URL of the list of live and leaving vms."),
  weight_store: z.url().optional().describe(
    "URL of the weight store; required by orders that load weights.",
  ),
  store_calls_per_second: z.number().positive().default(5).describe(
    "Maximum calls per second from this node to the key-value service.",
  ),
  store_timeout: durationSchema().default(2_000).describe(
    "Timeout of a call to the key-value service.",
  ),
  vm_list_interval: durationSchema().default(1_000).describe(
    "Interval between reads of the vm list.",
  ),
});

const secretsSection = z.strictObject({
  peer_key_file: filePathSchema(
    "File with the shared key that authenticates nodes to each other.",
  ),
  operator_keys_file: filePathSchema(
    "File with one `name sha256-of-key` line per operator.",
  ),
});

const callersTlsSection = z.strictObject({
  cert_file: filePathSchema("Certificate chain, PEM."),
  key_file: filePathSchema("Private key, PEM."),
});

const peersTlsSection = callersTlsSection.extend({
  ca_file: filePathSchema(
    "Certificate of the CA that signs the nodes' certificates, PEM.",
  ),
});

const tlsSection = z.strictObject({
  callers: callersTlsSection.optional().describe(
    "TLS for connections from callers.",
  ),
  peers: peersTlsSection.optional().describe("Mutual TLS between nodes."),
  reload_interval: durationSchema().default(30_000).describe(
    "Interval between checks for changed files.",
  ),
});

const limitsSection = z.strictObject({
  max_body: sizeSchema().default(4 * 1_048_576).describe(
    "Maximum body size of a chat or of a request with an idempotency key.",
  ),
  max_header: sizeSchema().default(16 * 1_024).describe(
    "Maximum size of the request headers.",
  ),
  max_concurrent: z.int().positive().default(2_000).describe(
    "Maximum concurrent requests on this node.",
  ),
  max_concurrent_per_member: z.int().positive().default(500).describe(
    "Maximum concurrent requests per member on this node.",
  ),
  max_queue_per_member: z.int().nonnegative().default(64).describe(
    "Maximum requests per member waiting for admission on this node.",
  ),
  request_timeout: durationSchema().default(120_000).describe(
    "Timeout of a whole request; upper limit for timeouts requested by callers.",
  ),
  queue_timeout: durationSchema().default(5_000).describe(
    "Maximum time that a request waits for admission.",
  ),
  first_byte_timeout: durationSchema().default(30_000).describe(
    "Maximum time until the first byte of an endpoint's response.",
  ),
  drain_notice: durationSchema().default(2_000).describe(
    "Time that a stopping node accepts requests until the load balancer stops sending them.",
  ),
  drain_timeout: durationSchema().default(150_000).describe(
    "Maximum time that a graceful shutdown waits for requests in flight.",
  ),
});

const routingSection = z.strictObject({
  policy: z.enum(["owner", "rendezvous", "two_choices", "bounded_local"])
    .default("owner").describe(
      "Placement policy; policies other than `owner` are baselines for benchmarks.",
    ),
  retry_budget: z.number().min(0).max(1).default(0.1).describe(
    "Average number of retries allowed per request.",
  ),
  admission_timeout: durationSchema().default(500).describe(
    "Timeout of an admission call to an endpoint's owner.",
  ),
  directory_entries: z.int().positive().default(20_000).describe(
    "Maximum chats for which this node remembers the last endpoint.",
  ),
});

const membershipSection = z.strictObject({
  heartbeat_interval: durationSchema().default(1_000).describe(
    "Interval between heartbeats.",
  ),
  heartbeat_timeout: durationSchema().default(500).describe(
    "Timeout of a heartbeat.",
  ),
  suspect_timeout: durationSchema().default(3_000).describe(
    "Time after which a suspected node is considered dead.",
  ),
});

const logSection = z.strictObject({
  level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info")
    .describe("Minimum level of log lines that are written."),
});

const metricsSection = z.strictObject({
  statsd: addressSchema().optional().describe(
    "Address of a StatsD server, over UDP.",
  ),
  prefix: z.string().default("limpetshed.").describe(
    "Prefix of all metric names.",
  ),
});

/** Schema of the settings file; unknown keys are rejected. */
export const settingsSchema = z.strictObject({
  node: nodeSection,
  listen: listenSection,
  platform: platformSection,
  secrets: secretsSection,
  tls: tlsSection.prefault({}),
  limits: limitsSection.prefault({}),
  routing: routingSection.prefault({}),
  membership: membershipSection.prefault({}),
  log: logSection.prefault({}),
  metrics: metricsSection.prefault({}),
});

/** Validated settings; durations in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;
