import { z } from "zod";
import { address, duration, size } from "./units.ts";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

function name(description: string): z.ZodString {
  return z.string().regex(NAME_PATTERN, {
    error: "expected 1 to 64 letters, digits, '.', '_' or '-'",
  }).describe(description);
}

function filePath(description: string): z.ZodString {
  return z.string().min(1).describe(description);
}

const nodeSection = z.strictObject({
  id: name("Unique name of this node; a new vm gets a new one."),
  region: name("Region of this node."),
  availability_zone: name("Availability zone of this node."),
});

const listenSection = z.strictObject({
  callers: address().describe("Where callers connect."),
  operators: address().describe("Where operators and the balancer connect."),
  peers: address().describe("Where other nodes connect."),
  advertise_peers: address().optional().describe(
    "Address that other nodes use, if it differs from `peers`.",
  ),
});

const platformSection = z.strictObject({
  store: z.url().describe("Address of the key-value service."),
  vm_list: z.url().describe("Address of the list of live and leaving vms."),
  weight_store: z.url().optional().describe(
    "Address of the weight store; orders that load weights need it.",
  ),
  store_calls_per_second: z.number().positive().default(5).describe(
    "Most calls a second this node makes to the key-value service.",
  ),
  store_timeout: duration().default(2_000).describe(
    "Longest wait for one answer of the key-value service.",
  ),
  vm_list_interval: duration().default(1_000).describe(
    "Time between two reads of the vm list.",
  ),
});

const secretsSection = z.strictObject({
  peer_key_file: filePath(
    "File with the key that nodes show each other.",
  ),
  operator_keys_file: filePath(
    "File with one `name sha256-of-key` line per operator.",
  ),
});

const tlsCallers = z.strictObject({
  cert_file: filePath("Certificate chain, PEM."),
  key_file: filePath("Private key, PEM."),
});

const tlsPeers = tlsCallers.extend({
  ca_file: filePath("Authority that signs the nodes' certificates, PEM."),
});

const tlsSection = z.strictObject({
  callers: tlsCallers.optional().describe("TLS towards callers."),
  peers: tlsPeers.optional().describe("Mutual TLS between nodes."),
  reload_interval: duration().default(30_000).describe(
    "Time between two looks at the files for a change.",
  ),
});

const limitsSection = z.strictObject({
  max_body: size().default(4 * 1_048_576).describe(
    "Largest body of a chat or of a call under an idempotency key.",
  ),
  max_header: size().default(16 * 1_024).describe("Largest request header."),
  max_concurrent: z.int().positive().default(2_000).describe(
    "Most requests open at once on this node.",
  ),
  max_concurrent_per_member: z.int().positive().default(500).describe(
    "Most requests of one member open at once on this node.",
  ),
  max_queue_per_member: z.int().nonnegative().default(64).describe(
    "Most requests of one member waiting for admission on this node.",
  ),
  request_timeout: duration().default(120_000).describe(
    "Longest time for a whole request, also where a caller asks for more.",
  ),
  queue_timeout: duration().default(5_000).describe(
    "Longest wait for admission.",
  ),
  first_byte_timeout: duration().default(30_000).describe(
    "Longest wait for the first byte of an endpoint's answer.",
  ),
  drain_notice: duration().default(2_000).describe(
    "Time a stopping node keeps accepting while the balancer catches up.",
  ),
  drain_timeout: duration().default(150_000).describe(
    "Longest wait for requests in flight on a planned stop.",
  ),
});

const routingSection = z.strictObject({
  policy: z.enum(["owner", "rendezvous", "two_choices", "bounded_local"])
    .default("owner").describe(
      "Placement policy; all but `owner` are baselines for measurement.",
    ),
  retry_budget: z.number().min(0).max(1).default(0.1).describe(
    "Retries as a share of requests.",
  ),
  admission_timeout: duration().default(500).describe(
    "Longest wait for an answer from an endpoint's owner.",
  ),
  directory_entries: z.int().positive().default(20_000).describe(
    "Most chats whose last place this node remembers.",
  ),
});

const membershipSection = z.strictObject({
  heartbeat_interval: duration().default(1_000).describe(
    "Time between two heartbeats.",
  ),
  heartbeat_timeout: duration().default(500).describe(
    "Longest wait for the answer to a heartbeat.",
  ),
  suspect_timeout: duration().default(3_000).describe(
    "Time from suspicion to a node being held dead.",
  ),
});

const logSection = z.strictObject({
  level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info")
    .describe("Least severe level written."),
});

const metricsSection = z.strictObject({
  statsd: address().optional().describe("StatsD server, over UDP."),
  prefix: z.string().default("limpetshed.").describe("Prefix of all names."),
});

/** Schema of the settings file; unknown keys are errors. */
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

/** Checked settings; durations in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;
