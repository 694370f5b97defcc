import { EventSourceParserStream } from "eventsource-parser/stream";
import { Readable } from "node:stream";
import { performance } from "node:perf_hooks";
import { type Dispatcher, request } from "undici";
import type { GeneratedTurn } from "./chat_generator.ts";

/** What one caller saw of one request. */
export interface CallResult {
  /** `ok`, an error kind, or what went wrong on the way. */
  outcome: string;
  status: number;
  firstTokenMs: number | undefined;
  totalMs: number;
  /** Gaps between tokens in milliseconds. */
  gapsMs: number[];
  promptTokens: number;
  cachedTokens: number;
  /** Text of the answer; undefined when it was not whole. */
  answer: string | undefined;
}

/** Where and as whom a request is sent. */
export interface CallTarget {
  /** Base URL, such as `http://127.0.0.1:8080`. */
  url: string;
  key: string;
  dispatcher?: Dispatcher;
  timeoutMs: number;
}

interface Chunk {
  choices?: { delta?: { content?: string } }[];
  usage?: {
    prompt_tokens?: number;
    prompt_tokens_details?: { cached_tokens?: number };
  };
  error?: { type?: string };
}

/** Sends one turn and reads its streamed answer through the last event. */
export async function callChat(
  turn: GeneratedTurn,
  target: CallTarget,
): Promise<CallResult> {
  const startedMs = performance.now();
  const result: CallResult = {
    outcome: "answer_cut_off",
    status: 0,
    firstTokenMs: undefined,
    totalMs: 0,
    gapsMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    answer: undefined,
  };
  try {
    const res = await send(turn, target);
    result.status = res.statusCode;
    if (res.statusCode === 200) {
      await readAnswer(res.body, result, startedMs);
    } else {
      const body = (await res.body.json()) as Chunk;
      result.outcome = body.error?.type ?? `status_${res.statusCode}`;
    }
  } catch (err) {
    const code = (err as { code?: string }).code;
    result.outcome = `connection: ${code ?? String(err)}`;
  }
  result.totalMs = performance.now() - startedMs;
  return result;
}

async function send(
  turn: GeneratedTurn,
  { url, key, dispatcher, timeoutMs }: CallTarget,
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

async function readAnswer(
  body: Readable,
  result: CallResult,
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
    const chunk = JSON.parse(data) as Chunk;
    if (event === "error") {
      result.outcome = chunk.error?.type ?? "error_event";
      return;
    }
    const nowMs = performance.now();
    result.firstTokenMs ??= nowMs - startedMs;
    if (lastMs !== undefined) {
      result.gapsMs.push(nowMs - lastMs);
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
