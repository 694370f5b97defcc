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
import { parseRunRequest } from "./parse_run_request.ts";
import type { FakeModelEngine } from "./fake_model_engine.ts";
import type { ModelRun } from "./model_run.ts";
import type { FakePlainService } from "./fake_plain_service.ts";
import { plainLoadReport } from "./plain_load_report.ts";
import { REFERENCE_HEADER } from "./create_plain_server.ts";
import { chatCompletionBody } from "./chat_completion_body.ts";

/** Simulated endpoints of a test, by address. */
export class FakeEndpoints {
  readonly models = new Map<string, FakeModelEngine>();
  readonly plainServices = new Map<string, FakePlainService>();
  /** `nodeId|address` pairs whose calls fail as unreachable. */
  readonly blockedPairs = new Set<string>();
}

/** Calls simulated endpoints in the same process, without HTTP. */
export class FakeEndpointClient extends EndpointClient {
  readonly #endpoints: FakeEndpoints;
  readonly #nodeId: string;
  readonly #gate: () => Promise<void>;

  /** `gate` resolves once the calling node is not paused. */
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
          ? this.#startRun(target, call)
          : this.#reachableModel(target).findRun(call.requestId);
        if (run === undefined) {
          throw connectionLost();
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
    const run = this.#startRun(target, call);
    this.#cancelOnAbort(target, run, signal);
    try {
      for await (const _event of run.read(-1)) {
        // Waits for the run to end; the body is built from its usage.
      }
    } catch {
      throw connectionLost();
    }
    return { status: 200, body: chatCompletionBody(run) };
  }

  async callPlain(
    target: EndpointTarget,
    call: PlainCall,
  ): Promise<PlainResponse> {
    const engine = this.#reachablePlainService(target);
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
      throw err instanceof EndpointError ? err : connectionLost();
    }
  }

  fetchLoadReport(
    target: EndpointTarget,
    { eventsAfter }: { eventsAfter: number },
  ): Promise<LoadReport> {
    return this.#gate().then(() => {
      this.#checkReachable(target);
      const plain = this.#endpoints.plainServices.get(target.address);
      return plain === undefined
        ? this.#reachableModel(target).loadReport(eventsAfter)
        : plainLoadReport(this.#reachablePlainService(target));
    });
  }

  sendOrder(target: EndpointTarget, order: EndpointOrder): Promise<boolean> {
    return this.#gate().then(() => this.#reachableModel(target).order(order));
  }

  copyCache({ from, to, chatKeys }: {
    from: EndpointTarget;
    to: EndpointTarget;
    chatKeys: readonly string[];
  }): Promise<number> {
    return Promise.resolve().then(() => {
      const blocks = this.#reachableModel(from).exportCache(chatKeys);
      return this.#reachableModel(to).importCache(blocks);
    });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #startRun(target: EndpointTarget, call: ChatCall): ModelRun {
    const run = this.#reachableModel(target).start(
      parseRunRequest(call.body, call),
    );
    return run;
  }

  #cancelOnAbort(
    target: EndpointTarget,
    run: ModelRun,
    signal: AbortSignal,
  ): void {
    signal.addEventListener("abort", () => {
      this.#endpoints.models.get(target.address)?.cancel(run.requestId);
      run.disconnectReaders();
    }, { once: true });
  }

  #reachableModel(target: EndpointTarget): FakeModelEngine {
    this.#checkReachable(target);
    const engine = this.#endpoints.models.get(target.address);
    if (engine === undefined || engine.down) {
      throw endpointUnreachable();
    }
    return engine;
  }

  #reachablePlainService(target: EndpointTarget): FakePlainService {
    this.#checkReachable(target);
    const engine = this.#endpoints.plainServices.get(target.address);
    if (engine === undefined || engine.down) {
      throw endpointUnreachable();
    }
    return engine;
  }

  #checkReachable(target: EndpointTarget): void {
    if (this.#endpoints.blockedPairs.has(`${this.#nodeId}|${target.address}`)) {
      throw endpointUnreachable();
    }
  }
}

function endpointUnreachable(): EndpointError {
  return new EndpointError(
    "endpoint_unreachable",
    "the endpoint could not be reached",
  );
}

function connectionLost(): EndpointError {
  return new EndpointError("endpoint_failed", "the endpoint did not answer", {
    connectionLost: true,
  });
}
