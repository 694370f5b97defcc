import process from "node:process";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createApp,
  createRouter,
  eventHandler,
  type H3Event,
  toNodeListener,
} from "h3";
import { ulid } from "ulid";
import { type Clock, sleep } from "@limpetshed/base";
import type { Json } from "@limpetshed/config";
import { RouterError } from "@limpetshed/errors";
import type { Logger, Metrics } from "@limpetshed/observe";
import { writeError, writeJson } from "./response_writer.ts";
import type { OperatorKeys } from "./authenticator.ts";
import type { FleetNode } from "./fleet_node.ts";
import { addHealthRoutes } from "./health_routes.ts";
import { readBody } from "./plain_service.ts";
import type { RequestLimiter } from "./request_limiter.ts";

/** Options of {@linkcode makeOperatorsApp}. */
export interface OperatorsAppOptions {
  node: FleetNode;
  requestLimiter: RequestLimiter;
  keys: () => OperatorKeys;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Maximum patch size in bytes. */
  maxPatchBytes: number;
  /** Total bytes of peer traffic so far, and open peer connections. */
  wireTotals: () => { sent: number; received: number; open: number };
}

/** Request header with the id of a patch. */
export const PATCH_ID_HEADER = "x-patch-id";
const CONFIRM_TIMEOUT_MS = 5_000;
const CONFIRM_POLL_INTERVAL_MS = 100;
const DEFAULT_HISTORY_LIMIT = 50;
const PATCH_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

type RequestHandler = (
  event: H3Event,
  operator: string,
) => Promise<void>;

/** Makes the request listener of the operators' HTTP API. */
export function makeOperatorsApp(
  options: OperatorsAppOptions,
): (req: IncomingMessage, res: ServerResponse) => void {
  const app = createApp();
  const router = createRouter();
  const toEventHandler = (handler: RequestHandler) =>
    eventHandler(async (event) => await handleRequest(options, event, handler));
  addHealthRoutes(router, options);
  router.get(
    "/v1/config",
    toEventHandler((event) => handleGetConfig(options, event)),
  );
  router.patch(
    "/v1/config",
    toEventHandler((event, operator) =>
      handlePatchConfig(options, event, operator)
    ),
  );
  router.get(
    "/v1/config/history",
    toEventHandler((event) => handleConfigHistory(options, event)),
  );
  router.get(
    "/v1/config/status",
    toEventHandler((event) => handleConfigStatus(options, event)),
  );
  router.get(
    "/v1/status",
    toEventHandler((event) => handleStatus(options, event)),
  );
  app.use(router);
  app.use(
    toEventHandler(() =>
      Promise.reject(new RouterError("not_found", "no such path"))
    ),
  );
  const listener = toNodeListener(app);
  return (req, res) => void listener(req, res);
}

async function handleRequest(
  { keys, metrics, logger }: OperatorsAppOptions,
  event: H3Event,
  handler: RequestHandler,
): Promise<void> {
  const { req, res } = event.node;
  const requestId = ulid();
  let operator = "";
  try {
    operator = keys().authenticate(req.headers.authorization);
    await handler(event, operator);
  } catch (err) {
    const { kind, run } = writeError(res, err, { metrics, requestId });
    logger.warn(
      { requestId, operator, refusal: kind, run },
      "operator refused",
    );
    return;
  }
  const { method, url } = req;
  logger.info({ requestId, operator, method, path: url }, "operator request");
}

async function handleGetConfig(
  { node }: OperatorsAppOptions,
  { node: { req, res } }: H3Event,
): Promise<void> {
  const { snapshot } = node.configRepository;
  const etag = `"${snapshot.version}"`;
  if (req.headers["if-none-match"] === etag) {
    res.writeHead(304, { etag });
    res.end();
    return;
  }
  writeJson(res, 200, { data: snapshot.document(), headers: { etag } });
  await Promise.resolve();
}

async function handlePatchConfig(
  options: OperatorsAppOptions,
  { node: { req, res } }: H3Event,
  operator: string,
): Promise<void> {
  const againstVersion = readIfMatch(req);
  const id = readPatchId(req);
  const text = (await readBody(req, options.maxPatchBytes)).toString("utf8");
  const { version, repeated } = await options.node.configRepository.patch({
    expectedVersion: againstVersion,
    id,
    author: operator,
    patch: parseJson(text),
  });
  const confirmed = await waitForConfirmation(options, version);
  writeJson(res, 200, {
    data: { version, repeated, patch_id: id, ...confirmed },
    headers: { etag: `"${version}"` },
  });
}

async function waitForConfirmation(
  { node, clock }: OperatorsAppOptions,
  version: number,
): Promise<{ confirmed: number; nodes: number; pending: string[] }> {
  const deadlineMs = clock.monotonicMs() + CONFIRM_TIMEOUT_MS;
  for (;;) {
    const statuses = await node.configSync.status();
    const pending = statuses
      .filter((status) => (status.version ?? -1) < version)
      .map((status) => status.nodeId);
    if (pending.length === 0 || clock.monotonicMs() >= deadlineMs) {
      const nodes = statuses.length;
      return { confirmed: nodes - pending.length, nodes, pending };
    }
    await sleep(clock, CONFIRM_POLL_INTERVAL_MS);
  }
}

async function handleConfigHistory(
  { node }: OperatorsAppOptions,
  { node: { req, res } }: H3Event,
): Promise<void> {
  const url = new URL(req.url ?? "/", "http://localhost");
  const limit = Number(url.searchParams.get("limit") ?? DEFAULT_HISTORY_LIMIT);
  if (!Number.isInteger(limit) || limit < 1) {
    throw new RouterError("invalid_request", "limit: expected a whole number");
  }
  const records = await node.configRepository.history({ limit });
  const patches = records.map((record) => ({
    version: record.version,
    author: record.author,
    at: record.at,
    patch_id: record.id,
    patch: JSON.parse(record.patch) as Json,
  }));
  writeJson(res, 200, { data: { patches } });
}

async function handleConfigStatus(
  { node }: OperatorsAppOptions,
  { node: { res } }: H3Event,
): Promise<void> {
  const nodes = (await node.configSync.status()).map(({ nodeId, version }) => ({
    node: nodeId,
    version: version ?? null,
  }));
  const { version } = node.configRepository.snapshot;
  writeJson(res, 200, { data: { version, nodes } });
}

async function handleStatus(
  options: OperatorsAppOptions,
  { node: { res } }: H3Event,
): Promise<void> {
  const { node, requestLimiter, metrics, wireTotals } = options;
  const { snapshot } = node.configRepository;
  const memory = process.memoryUsage();
  const cpu = process.cpuUsage();
  const nodes = node.membership.nodes().map((view) => ({
    id: view.id,
    state: view.state,
    availability_zone: view.availabilityZone,
    listed: view.listed,
  }));
  const owned = node.endpointOwner.owned().map((
    { info, monitor, admissions },
  ) => ({
    id: info.id,
    service: info.service,
    availability_zone: info.availabilityZone,
    zone_in: snapshot.isZoneIn(info.availabilityZone),
    health: monitor.health,
    in_flight: admissions.inFlight,
    waiting: admissions.waiting,
  }));
  writeJson(res, 200, {
    data: {
      node: node.membership.self.id,
      ready: node.ready,
      stopping: node.stopping,
      config_version: snapshot.version,
      open_requests: requestLimiter.open,
      chats: node.chats.size,
      nodes,
      owned_endpoints: owned,
      process: {
        rss_bytes: memory.rss,
        heap_bytes: memory.heapUsed,
        cpu_ms: (cpu.user + cpu.system) / 1_000,
      },
      wire: wireTotals(),
      metrics: metrics.snapshot(),
    },
  });
  await Promise.resolve();
}

function readIfMatch(req: IncomingMessage): number {
  const header = req.headers["if-match"];
  if (header === undefined) {
    throw new RouterError(
      "config_version_missing",
      'name the version that the patch was written against: If-Match: "41"',
    );
  }
  const match = /^"?(\d{1,15})"?$/.exec(header.trim());
  if (match === null) {
    throw new RouterError("invalid_request", "If-Match: expected one version");
  }
  return Number(match[1]);
}

function readPatchId(req: IncomingMessage): string {
  const header = req.headers[PATCH_ID_HEADER];
  if (header === undefined) {
    return ulid();
  }
  if (typeof header !== "string" || !PATCH_ID_PATTERN.test(header)) {
    throw new RouterError(
      "invalid_request",
      `${PATCH_ID_HEADER}: expected 1 to 64 letters, digits, '.', '_' or '-'`,
    );
  }
  return header;
}

function parseJson(text: string): Json {
  try {
    return JSON.parse(text) as Json;
  } catch (err) {
    throw new RouterError("invalid_request", "body: not valid JSON", {
      cause: err,
    });
  }
}
