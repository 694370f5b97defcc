/** One segment of a prompt; requests may share leading segments. */
export interface PromptPart {
  /** Id that the caller assigned; an endpoint that caches the part under this
   * id is assumed to cache all parts before it too. */
  id: string;
  tokens: number;
}

/** Properties of the prompt of a request to a model. */
export interface PromptInfo {
  model: string;
  /** Total prompt tokens. */
  promptTokens: number;
  /** Maximum number of tokens to generate. */
  maxOutputTokens: number;
  /** Parts in order; the last one is specific to the request or its chat. */
  parts: readonly PromptPart[];
}

/** The last part that other requests may share: the part before the last one,
 * or the only part if there is just one. */
export function lastSharedPart({ parts }: PromptInfo): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}
