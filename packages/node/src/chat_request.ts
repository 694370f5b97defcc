import { RouterError } from "@limpetshed/errors";
import type { KeyMessage } from "./key_message.ts";

/** A checked chat request. */
export interface ChatRequest {
  requestId: string;
  member: string;
  /** Service, which callers name as the model. */
  service: string;
  /** Body to send on, JSON text. */
  body: string;
  messages: readonly KeyMessage[];
  stream: boolean;
  /** Identity of the chat given by the caller, if any. */
  explicitKey: string | undefined;
  /** Tokens of the prompt, estimated. */
  promptTokens: number;
  /** Most tokens that may be generated. */
  maxTokens: number;
  signal: AbortSignal;
}

interface ChatBody {
  model?: unknown;
  messages?: unknown;
  stream?: unknown;
  max_tokens?: unknown;
  max_completion_tokens?: unknown;
  prompt_cache_key?: unknown;
}

const CHARS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 512;
const MAX_KEY_CHARS = 512;

/** What of a request does not come from its body. */
export interface ChatRequestContext {
  requestId: string;
  member: string;
  /** Identity of the chat from a header. */
  headerKey: string | undefined;
  signal: AbortSignal;
}

/** Checks a chat's body. */
export function parseChatRequest(
  body: string,
  { requestId, member, headerKey, signal }: ChatRequestContext,
): ChatRequest {
  const parsed = parseObject(body);
  const { model, messages, stream, prompt_cache_key: bodyKey } = parsed;
  if (typeof model !== "string" || model === "") {
    throw invalid("model: expected the name of a service");
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    throw invalid("messages: expected a list with at least one message");
  }
  if (!messages.every((entry) => typeof entry === "object" && entry !== null)) {
    throw invalid("messages: expected objects");
  }
  if (stream !== undefined && typeof stream !== "boolean") {
    throw invalid("stream: expected true or false");
  }
  const explicitKey = headerKey ?? bodyKey;
  if (explicitKey !== undefined && !isKey(explicitKey)) {
    throw invalid(
      `prompt_cache_key: expected at most ${MAX_KEY_CHARS} characters`,
    );
  }
  const promptChars = (messages as KeyMessage[]).reduce(
    (sum, { content }) => sum + textLength(content),
    0,
  );
  return {
    requestId,
    member,
    service: model,
    body,
    messages: messages as KeyMessage[],
    stream: stream === true,
    explicitKey,
    promptTokens: Math.ceil(promptChars / CHARS_PER_TOKEN),
    maxTokens: readMaxTokens(parsed),
    signal,
  };
}

function parseObject(body: string): ChatBody {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body);
  } catch (err) {
    throw invalid("body: not valid JSON", err);
  }
  if (typeof parsed !== "object" || parsed === null || Array.isArray(parsed)) {
    throw invalid("body: expected an object");
  }
  return parsed;
}

function readMaxTokens(body: ChatBody): number {
  const value = body.max_completion_tokens ?? body.max_tokens;
  if (value === undefined || value === null) {
    return DEFAULT_MAX_TOKENS;
  }
  if (typeof value !== "number" || !Number.isInteger(value) || value < 1) {
    throw invalid("max_tokens: expected a whole number above 0");
  }
  return value;
}

function isKey(value: unknown): value is string {
  return typeof value === "string" && value !== "" &&
    value.length <= MAX_KEY_CHARS;
}

function textLength(content: unknown): number {
  return typeof content === "string"
    ? content.length
    : JSON.stringify(content ?? "").length;
}

function invalid(fault: string, cause?: unknown): RouterError {
  return new RouterError("invalid_request", fault, { cause, faults: [fault] });
}
