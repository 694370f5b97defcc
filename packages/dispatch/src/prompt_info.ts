/** One part of a prompt; requests share the leading parts. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request for a model says of its prompt. */
export interface PromptInfo {
  model: string;
  /** Tokens of the whole prompt. */
  promptTokens: number;
  /** Most tokens that the answer may have. */
  maxAnswerTokens: number;
  /** Parts in order; the last is the request's or its session's own. */
  parts: readonly PromptPart[];
}

/** The deepest part that other requests may share. */
export function lastSharedPart({ parts }: PromptInfo): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}
