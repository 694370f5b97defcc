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
import type { Place, Placement } from "@limpetshed/placement";
import { outcomeOf } from "./place_outcome.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Options of {@linkcode PlainService}. */
export interface PlainServiceOptions {
  clock: Clock;
  metrics: Metrics;
  client: EndpointClient;
  placement: Placement;
  retries: RetryBudget;
  claims: IdempotentCallRunner;
  config: () => ConfigSnapshot;
  maxBodyBytes: number;
  /** Longest wait for a place, in milliseconds. */
  queueTimeoutMs: number;
}

/** A call to a plain service. */
export interface PlainRequest {
  requestId: string;
  member: string;
  service: string;
  method: string;
  /** Path and query at the service, starting with `/`. */
  path: string;
  headers: Record<string, string>;
  /** Undefined when the call has no body. */
  body: Readable | undefined;
  idempotencyKey: string | undefined;
  signal: AbortSignal;
}

/** Answer for the caller. */
export interface PlainReply extends PlainResponse {
  /** The answer was recorded by an earlier call under the same key. */
  replayed: boolean;
}

const MAX_ATTEMPTS = 2;
const MAX_ANSWER_BYTES = 4 * 1_048_576;

interface SendOptions {
  body: Readable | string | null;
  sendOnce: boolean;
}

/** Runs calls to plain services, those that may not be repeated at most once. */
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
    this.#options.retries.earn();
    const operation = findOperation(service.operations, req);
    const repeatable = operation?.repeatable ?? isSafeMethod(req.method);
    if (!repeatable && req.idempotencyKey !== undefined) {
      return await this.#callClaimed(req, req.idempotencyKey);
    }
    if (operation?.key_required === true && req.idempotencyKey === undefined) {
      throw new RouterError(
        "invalid_request",
        "this call needs an idempotency-key header",
      );
    }
    const body = req.body ?? null;
    const answer = await this.#send(req, { body, sendOnce: !repeatable });
    return { ...answer, replayed: false };
  }

  async #callClaimed(req: PlainRequest, key: string): Promise<PlainReply> {
    const body = await this.#readBody(req);
    const { method, path, member, service } = req;
    const fingerprint = sha256Hex(JSON.stringify([method, path, body]));
    const { status, headers, body: answer, replayed } = await this.#options
      .claims.run({
        member,
        service,
        key,
        fingerprint,
        send: () => this.#sendAndRead(req, body),
      });
    return {
      status,
      headers,
      replayed,
      body: Readable.from([answer]),
    };
  }

  async #sendAndRead(req: PlainRequest, body: string) {
    const answer = await this.#send(req, {
      body: body === "" ? null : body,
      sendOnce: true,
    });
    try {
      const bytes = await readAll(answer.body, MAX_ANSWER_BYTES);
      return { status: answer.status, headers: answer.headers, body: bytes };
    } catch (err) {
      throw new RouterError(
        "endpoint_failed",
        "the endpoint's answer broke off",
        { cause: err },
      );
    }
  }

  async #send(
    req: PlainRequest,
    { body, sendOnce }: SendOptions,
  ): Promise<PlainResponse> {
    const { client } = this.#options;
    const tried = new Set<string>();
    for (;;) {
      const place = await this.#place(req, tried);
      tried.add(place.endpoint.id);
      try {
        const answer = await client.callPlain(place.endpoint, {
          requestId: req.requestId,
          method: req.method,
          path: req.path,
          headers: req.headers,
          body,
          sendOnce,
        }, { signal: req.signal });
        finishWithBody(place, answer.body);
        return answer;
      } catch (err) {
        place.finish(outcomeOf(err));
        const again = tried.size < MAX_ATTEMPTS &&
          this.#mayRetry(err, { body, sendOnce });
        if (!again || req.signal.aborted) {
          throw toRouterError(err);
        }
      }
    }
  }

  /** A call that may not be repeated goes again only if it was never sent. */
  #mayRetry(err: unknown, { body, sendOnce }: SendOptions): boolean {
    if (!(err instanceof EndpointError)) {
      return false;
    }
    const bodyKept = body === null || typeof body === "string";
    const allowed = err.run === "not-run"
      ? bodyKept || err.kind === "endpoint_unreachable"
      : !sendOnce && bodyKept;
    if (!allowed || !this.#options.retries.take()) {
      return false;
    }
    const reason = err.kind === "endpoint_refused"
      ? "endpoint_refused"
      : "connect_failed";
    this.#options.metrics.countRetry(reason);
    return true;
  }

  async #place(
    req: PlainRequest,
    tried: ReadonlySet<string>,
  ): Promise<Place> {
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

  async #readBody({ body }: PlainRequest): Promise<string> {
    if (body === undefined) {
      return "";
    }
    const bytes = await readAll(body, this.#options.maxBodyBytes);
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

function finishWithBody(place: Place, body: Readable): void {
  body.once("end", () => place.finish("completed"));
  body.once("error", () => place.finish("failed"));
  body.once("close", () => place.finish("cancelled"));
}

/**
 * Reads a body of at most `maxBytes`. A larger one is left unread, not
 * destroyed, so that its sender can still be answered.
 */
export async function readAll(
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
