import { EventSourceParserStream } from "eventsource-parser/stream";
import { Readable } from "node:stream";
import { performance } from "node:perf_hooks";
import { type Dispatcher, request } from "undici";
import type { GeneratedTurn } from "./chat_generator.ts";

/** Result of one chat request, as measured by the client. */
export interface ChatRequestResult {
  /** `ok`, the error kind from the response, or the cause of the failure. */
  outcome: string;
  status: number;
  firstTokenMs: number | undefined;
  totalMs: number;
  /** Times between consecutive tokens, in milliseconds. */
  interTokenMs: number[];
  promptTokens: number;
  cachedTokens: number;
  /** Generated text; undefined if the response is incomplete. */
  answer: string | undefined;
}

/** Node, API key and timeout of a request. */
export interface ChatRequestTarget {
  /** Base URL, such as `http://127.0.0.1:8080`. */
  url: string;
  key: string;
  dispatcher?: Dispatcher;
  timeoutMs: number;
}

interface ResponseChunk {
  choices?: { delta?: { content?: string } }[];
  usage?: {
    prompt_tokens?: number;
    prompt_tokens_details?: { cached_tokens?: number };
  };
  error?: { type?: string };
}

/** Sends one turn and reads its event stream until `[DONE]` or an error. */
export async function sendChatRequest(
  turn: GeneratedTurn,
  target: ChatRequestTarget,
): Promise<ChatRequestResult> {
  const startedMs = performance.now();
  const result: ChatRequestResult = {
    outcome: "answer_cut_off",
    status: 0,
    firstTokenMs: undefined,
    totalMs: 0,
    interTokenMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    answer: undefined,
  };
  try {
    const res = await postTurn(turn, target);
    result.status = res.statusCode;
    if (res.statusCode === 200) {
      await readResponseStream(res.body, result, startedMs);
    } else {
      const body = (await res.body.json()) as ResponseChunk;
      result.outcome = body.error?.type ?? `status_${res.statusCode}`;
    }
  } catch (err) {
    const code = (err as { code?: string }).code;
    result.outcome = `connection: ${code ?? String(err)}`;
  }
  result.totalMs = performance.now() - startedMs;
  return result;
}

async function postTurn(
  turn: GeneratedTurn,
  { url, key, dispatcher, timeoutMs }: ChatRequestTarget,
): Promise<Dispatcher.ResponseData> {
  return await request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: turn.model,
      messages: turn.messages,
      max_tokens: turn.maxTokens,
      stream: true,
    }),
    signal: AbortSignal.timeout(timeoutMs),
    ...(dispatcher && { dispatcher }),
  });
}

async function readResponseStream(
  body: Readable,
  result: ChatRequestResult,
  startedMs: number,
): Promise<void> {
  const events = Readable.toWeb(body)
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  let text = "";
  let lastMs: number | undefined;
  for await (const { event, data } of events) {
    if (data === "[DONE]") {
      result.outcome = "ok";
      result.answer = text;
      return;
    }
    const chunk = JSON.parse(data) as ResponseChunk;
    if (event === "error") {
      result.outcome = chunk.error?.type ?? "error_event";
      return;
    }
    const nowMs = performance.now();
    result.firstTokenMs ??= nowMs - startedMs;
    if (lastMs !== undefined) {
      result.interTokenMs.push(nowMs - lastMs);
    }
    lastMs = nowMs;
    text += chunk.choices?.[0]?.delta?.content ?? "";
    const { usage } = chunk;
    if (usage !== undefined) {
      result.promptTokens = usage.prompt_tokens ?? 0;
      result.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
    }
  }
}
