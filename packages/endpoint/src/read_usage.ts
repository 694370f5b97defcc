import type { TokenUsage } from "./endpoint_client.ts";

interface UsageFields {
  usage?: {
    prompt_tokens?: number;
    completion_tokens?: number;
    prompt_tokens_details?: { cached_tokens?: number };
  } | null;
}

/** Parses `usage` from a response body or event; undefined if absent. */
export function readUsage(json: string): TokenUsage | undefined {
  if (!json.includes('"usage"')) {
    return undefined;
  }
  try {
    const { usage } = JSON.parse(json) as UsageFields;
    if (usage === undefined || usage === null) {
      return undefined;
    }
    return {
      promptTokens: usage.prompt_tokens ?? 0,
      completionTokens: usage.completion_tokens ?? 0,
      cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    };
  } catch {
    return undefined;
  }
}
