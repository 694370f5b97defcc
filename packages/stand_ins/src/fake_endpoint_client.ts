import { Readable } from "node:stream";
import {
  type ChatCall,
  type ChatResponse,
  EndpointClient,
  EndpointError,
  type EndpointOrder,
  type EndpointTarget,
  type LoadReport,
  type PlainCall,
  type PlainResponse,
  readChatStream,
  type StreamEvent,
} from "@limpetshed/endpoint";
import { parseRun } from "./chat_body.ts";
import type { ModelEngine } from "./model_engine.ts";
import type { ModelRun } from "./model_run.ts";
import type { PlainEngine } from "./plain_engine.ts";
import { plainReport } from "./plain_report.ts";
import { REFERENCE_HEADER } from "./plain_server.ts";
import { wholeBody } from "./whole_body.ts";

/** The endpoints of one test, by address. */
export class FakeEndpoints {
  readonly models = new Map<string, ModelEngine>();
  readonly plains = new Map<string, PlainEngine>();
  /** `node|address` pairs that cannot reach each other. */
  readonly cut = new Set<string>();
}

/** The endpoint interface straight over the stand-ins' engines. */
export class FakeEndpointClient extends EndpointClient {
  readonly #endpoints: FakeEndpoints;
  readonly #nodeId: string;
  readonly #gate: () => Promise<void>;

  /** `gate` holds calls back while the node that makes them is paused. */
  constructor({ endpoints, nodeId, gate = () => Promise.resolve() }: {
    endpoints: FakeEndpoints;
    nodeId: string;
    gate?: () => Promise<void>;
  }) {
    super();
    this.#gate = gate;
    this.#endpoints = endpoints;
    this.#nodeId = nodeId;
  }

  streamChat(
    target: EndpointTarget,
    call: ChatCall,
    { signal }: { signal: AbortSignal },
  ): AsyncIterable<StreamEvent> {
    return readChatStream({
      requestId: call.requestId,
      signal,
      open: (after) => {
        const run = after < 0
          ? this.#start(target, call)
          : this.#model(target).find(call.requestId);
        if (run === undefined) {
          throw lost();
        }
        this.#cancelOnAbort(target, run, signal);
        return Promise.resolve(run.read(after));
      },
    });
  }

  async runChat(
    target: EndpointTarget,
    call: ChatCall,
    { signal }: { signal: AbortSignal },
  ): Promise<ChatResponse> {
    const run = this.#start(target, call);
    this.#cancelOnAbort(target, run, signal);
    try {
      for await (const _event of run.read(-1)) {
        // Only the end of the run matters here.
      }
    } catch {
      throw lost();
    }
    return { status: 200, body: wholeBody(run) };
  }

  async callPlain(
    target: EndpointTarget,
    call: PlainCall,
  ): Promise<PlainResponse> {
    const engine = this.#plain(target);
    try {
      await this.#gate();
      const result = await engine.call(call.headers[REFERENCE_HEADER] ?? "");
      await this.#gate();
      if (result.notRun) {
        throw new EndpointError("endpoint_refused", "the endpoint refused");
      }
      return {
        status: result.status,
        headers: { "content-type": "application/json" },
        body: Readable.from([result.body]),
      };
    } catch (err) {
      throw err instanceof EndpointError ? err : lost();
    }
  }

  fetchLoadReport(
    target: EndpointTarget,
    { eventsAfter }: { eventsAfter: number },
  ): Promise<LoadReport> {
    return this.#gate().then(() => {
      this.#checkReachable(target);
      const plain = this.#endpoints.plains.get(target.address);
      return plain === undefined
        ? this.#model(target).report(eventsAfter)
        : plainReport(this.#plain(target));
    });
  }

  sendOrder(target: EndpointTarget, order: EndpointOrder): Promise<boolean> {
    return this.#gate().then(() => this.#model(target).order(order));
  }

  copyCache({ from, to, chatKeys }: {
    from: EndpointTarget;
    to: EndpointTarget;
    chatKeys: readonly string[];
  }): Promise<number> {
    return Promise.resolve().then(() => {
      const blocks = this.#model(from).exportCache(chatKeys);
      return this.#model(to).importCache(blocks);
    });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #start(target: EndpointTarget, call: ChatCall): ModelRun {
    const run = this.#model(target).start(parseRun(call.body, call));
    return run;
  }

  #cancelOnAbort(
    target: EndpointTarget,
    run: ModelRun,
    signal: AbortSignal,
  ): void {
    signal.addEventListener("abort", () => {
      this.#endpoints.models.get(target.address)?.cancel(run.requestId);
      run.dropReaders();
    }, { once: true });
  }

  #model(target: EndpointTarget): ModelEngine {
    this.#checkReachable(target);
    const engine = this.#endpoints.models.get(target.address);
    if (engine === undefined || engine.down) {
      throw unreachable();
    }
    return engine;
  }

  #plain(target: EndpointTarget): PlainEngine {
    this.#checkReachable(target);
    const engine = this.#endpoints.plains.get(target.address);
    if (engine === undefined || engine.down) {
      throw unreachable();
    }
    return engine;
  }

  #checkReachable(target: EndpointTarget): void {
    if (this.#endpoints.cut.has(`${this.#nodeId}|${target.address}`)) {
      throw unreachable();
    }
  }
}

function unreachable(): EndpointError {
  return new EndpointError(
    "endpoint_unreachable",
    "the endpoint could not be reached",
  );
}

function lost(): EndpointError {
  return new EndpointError("endpoint_failed", "the endpoint did not answer", {
    connectionLost: true,
  });
}
