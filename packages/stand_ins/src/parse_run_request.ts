import type { WorkPriority } from "@limpetshed/endpoint";
import type { RunRequest } from "./fake_model_engine.ts";
import type { ChatMessage } from "./prefix_cache.ts";

const DEFAULT_MAX_TOKENS = 16;

interface ChatCompletionBody {
  messages?: ChatMessage[];
  max_tokens?: number;
  stream?: boolean;
}

/** Parses the body of a chat completion request. */
export function parseRunRequest(
  body: string,
  { requestId, priority, chatKey }: {
    requestId: string;
    priority: WorkPriority;
    chatKey: string;
  },
): RunRequest & { stream: boolean } {
  const parsed = JSON.parse(body) as ChatCompletionBody;
  return {
    requestId,
    priority,
    chatKey,
    messages: parsed.messages ?? [],
    maxTokens: parsed.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: parsed.stream ?? false,
  };
}
