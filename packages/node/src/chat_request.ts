import { RouterError } from "@limpetshed/errors";
import type { ChatMessage } from "./chat_message.ts";

/** A validated chat request. */
export interface ChatRequest {
  requestId: string;
  member: string;
  /** Service name, taken from the body's `model` field. */
  service: string;
  /** JSON body as received, forwarded unchanged. */
  body: string;
  messages: readonly ChatMessage[];
  stream: boolean;
  /** Chat key given by the caller, if any. */
  explicitKey: string | undefined;
  /** Estimated number of prompt tokens. */
  promptTokens: number;
  /** Maximum number of generated tokens. */
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
const MAX_CHAT_KEY_CHARS = 512;

/** Request data that does not come from the body. */
export interface ChatRequestContext {
  requestId: string;
  member: string;
  /** Chat key from the request header; overrides `prompt_cache_key`. */
  headerKey: string | undefined;
  signal: AbortSignal;
}

/**
 * Parses and validates the body of a chat request.
 *
 * @throws RouterError `invalid_request`.
 */
export function parseChatRequest(
  body: string,
  { requestId, member, headerKey, signal }: ChatRequestContext,
): ChatRequest {
  const parsed = parseObject(body);
  const { model, messages, stream, prompt_cache_key: bodyKey } = parsed;
  if (typeof model !== "string" || model === "") {
    throw invalidRequest("model: expected the name of a service");
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    throw invalidRequest("messages: expected a list with at least one message");
  }
  if (
    !messages.every((message) =>
      typeof message === "object" && message !== null
    )
  ) {
    throw invalidRequest("messages: expected objects");
  }
  if (stream !== undefined && typeof stream !== "boolean") {
    throw invalidRequest("stream: expected true or false");
  }
  const explicitKey = headerKey ?? bodyKey;
  if (explicitKey !== undefined && !isValidChatKey(explicitKey)) {
    throw invalidRequest(
      `prompt_cache_key: expected at most ${MAX_CHAT_KEY_CHARS} characters`,
    );
  }
  const promptChars = (messages as ChatMessage[]).reduce(
    (sum, { content }) => sum + contentChars(content),
    0,
  );
  return {
    requestId,
    member,
    service: model,
    body,
    messages: messages as ChatMessage[],
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
    throw invalidRequest("body: not valid JSON", err);
  }
  if (typeof parsed !== "object" || parsed === null || Array.isArray(parsed)) {
    throw invalidRequest("body: expected an object");
  }
  return parsed;
}

function readMaxTokens(body: ChatBody): number {
  const value = body.max_completion_tokens ?? body.max_tokens;
  if (value === undefined || value === null) {
    return DEFAULT_MAX_TOKENS;
  }
  if (typeof value !== "number" || !Number.isInteger(value) || value < 1) {
    throw invalidRequest("max_tokens: expected a whole number above 0");
  }
  return value;
}

function isValidChatKey(value: unknown): value is string {
  return typeof value === "string" && value !== "" &&
    value.length <= MAX_CHAT_KEY_CHARS;
}

function contentChars(content: unknown): number {
  return typeof content === "string"
    ? content.length
    : JSON.stringify(content ?? "").length;
}

function invalidRequest(fault: string, cause?: unknown): RouterError {
  return new RouterError("invalid_request", fault, { cause, faults: [fault] });
}
