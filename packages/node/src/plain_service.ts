import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import type { Clock } from "@limpetshed/base";
import type { IdempotentCallRunner } from "@limpetshed/claims";
import type { ConfigSnapshot, Operation } from "@limpetshed/config";
import {
  type EndpointClient,
  EndpointError,
  type PlainResponse,
} from "@limpetshed/endpoint";
import { RouterError, toRouterError } from "@limpetshed/errors";
import { hash64, sha256Hex } from "@limpetshed/hashing";
import type { Metrics } from "@limpetshed/observe";
import type { Assignment, PlacementPolicy } from "@limpetshed/placement";
import { failureOutcome } from "./failure_outcome.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Options of {@linkcode PlainService}. */
export interface PlainServiceOptions {
  clock: Clock;
  metrics: Metrics;
  client: EndpointClient;
  placement: PlacementPolicy;
  retryBudget: RetryBudget;
  claims: IdempotentCallRunner;
  config: () => ConfigSnapshot;
  maxBodyBytes: number;
  /** Maximum wait for a place, in milliseconds. */
  queueTimeoutMs: number;
}

/** A call to a plain service. */
export interface PlainRequest {
  requestId: string;
  member: string;
  service: string;
  method: string;
  /** Path and query sent to the service, starting with `/`. */
  path: string;
  headers: Record<string, string>;
  /** Undefined when the call has no body. */
  body: Readable | undefined;
  idempotencyKey: string | undefined;
  signal: AbortSignal;
}

/** Response for the caller. */
export interface PlainReply extends PlainResponse {
  /** Whether an earlier call with the same key recorded the response. */
  replayed: boolean;
}

const MAX_ATTEMPTS = 2;
const MAX_RECORDED_RESPONSE_BYTES = 4 * 1_048_576;

interface SendOptions {
  body: Readable | string | null;
  sendOnce: boolean;
}

/**
 * Runs calls to plain services. A call that may not be repeated is executed at
 * most once.
 */
export class PlainService {
  readonly #options: PlainServiceOptions;

  constructor(options: PlainServiceOptions) {
    this.#options = options;
  }

  /** Runs one call. */
  async call(req: PlainRequest): Promise<PlainReply> {
    const service = this.#options.config().service(req.service);
    if (service?.kind !== "plain") {
      throw new RouterError("not_found", `no plain service ${req.service}`);
    }
    this.#options.retryBudget.deposit();
    const operation = findOperation(service.operations, req);
    const repeatable = operation?.repeatable ?? isSafeMethod(req.method);
    if (!repeatable && req.idempotencyKey !== undefined) {
      return await this.#callIdempotent(req, req.idempotencyKey);
    }
    if (operation?.key_required === true && req.idempotencyKey === undefined) {
      throw new RouterError(
        "invalid_request",
        "this call needs an idempotency-key header",
      );
    }
    const body = req.body ?? null;
    const response = await this.#sendWithRetry(req, {
      body,
      sendOnce: !repeatable,
    });
    return { ...response, replayed: false };
  }

  async #callIdempotent(req: PlainRequest, key: string): Promise<PlainReply> {
    const body = await this.#readRequestBody(req);
    const { method, path, member, service } = req;
    const fingerprint = sha256Hex(JSON.stringify([method, path, body]));
    const { status, headers, body: responseBody, replayed } = await this
      .#options
      .claims.run({
        member,
        service,
        key,
        fingerprint,
        send: () => this.#sendAndReadResponse(req, body),
      });
    return {
      status,
      headers,
      replayed,
      body: Readable.from([responseBody]),
    };
  }

  async #sendAndReadResponse(req: PlainRequest, body: string) {
    const response = await this.#sendWithRetry(req, {
      body: body === "" ? null : body,
      sendOnce: true,
    });
    try {
      const bytes = await readBody(response.body, MAX_RECORDED_RESPONSE_BYTES);
      return {
        status: response.status,
        headers: response.headers,
        body: bytes,
      };
    } catch (err) {
      throw new RouterError(
        "endpoint_failed",
        "the endpoint's answer broke off",
        { cause: err },
      );
    }
  }

  async #sendWithRetry(
    req: PlainRequest,
    { body, sendOnce }: SendOptions,
  ): Promise<PlainResponse> {
    const { client } = this.#options;
    const tried = new Set<string>();
    for (;;) {
      const place = await this.#acquirePlace(req, tried);
      tried.add(place.endpoint.id);
      try {
        const response = await client.callPlain(place.endpoint, {
          requestId: req.requestId,
          method: req.method,
          path: req.path,
          headers: req.headers,
          body,
          sendOnce,
        }, { signal: req.signal });
        finishPlaceWithBody(place, response.body);
        return response;
      } catch (err) {
        place.finish(failureOutcome(err));
        const willRetry = tried.size < MAX_ATTEMPTS &&
          this.#mayRetry(err, { body, sendOnce });
        if (!willRetry || req.signal.aborted) {
          throw toRouterError(err);
        }
      }
    }
  }

  /**
   * Decides on a retry; charges the retry budget. A `sendOnce` call is retried
   * only if the endpoint did not run it.
   */
  #mayRetry(err: unknown, { body, sendOnce }: SendOptions): boolean {
    if (!(err instanceof EndpointError)) {
      return false;
    }
    const isBodyReplayable = body === null || typeof body === "string";
    const allowed = err.run === "not-run"
      ? isBodyReplayable || err.kind === "endpoint_unreachable"
      : !sendOnce && isBodyReplayable;
    if (!allowed || !this.#options.retryBudget.tryWithdraw()) {
      return false;
    }
    const reason = err.kind === "endpoint_refused"
      ? "endpoint_refused"
      : "connect_failed";
    this.#options.metrics.countRetry(reason);
    return true;
  }

  async #acquirePlace(
    req: PlainRequest,
    tried: ReadonlySet<string>,
  ): Promise<Assignment> {
    return await this.#options.placement.place({
      service: req.service,
      keys: undefined,
      fingerprint: hash64(req.requestId),
      promptTokens: 0,
      priority: "share",
      maxWaitMs: this.#options.queueTimeoutMs,
      exclude: tried,
    });
  }

  async #readRequestBody({ body }: PlainRequest): Promise<string> {
    if (body === undefined) {
      return "";
    }
    const bytes = await readBody(body, this.#options.maxBodyBytes);
    return bytes.toString("utf8");
  }
}

function findOperation(
  operations: readonly Operation[],
  { method, path }: PlainRequest,
): Operation | undefined {
  return operations
    .filter((entry) =>
      entry.method === method && path.startsWith(entry.path_prefix)
    )
    .sort((a, b) => b.path_prefix.length - a.path_prefix.length)[0];
}

function isSafeMethod(method: string): boolean {
  return method === "GET" || method === "HEAD" || method === "OPTIONS";
}

function finishPlaceWithBody(place: Assignment, body: Readable): void {
  body.once("end", () => place.finish("completed"));
  body.once("error", () => place.finish("failed"));
  body.once("close", () => place.finish("cancelled"));
}

/**
 * Reads a body of at most `maxBytes`. The rest of a larger body is left unread,
 * but the stream stays open, so that its sender can still receive a response.
 */
export async function readBody(
  body: Readable,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body.iterator({ destroyOnReturn: false })) {
    const buffer = Buffer.from(chunk as Uint8Array | string);
    bytes += buffer.length;
    if (bytes > maxBytes) {
      throw new RouterError(
        "body_too_large",
        `the body is larger than ${maxBytes} bytes`,
      );
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks);
}
