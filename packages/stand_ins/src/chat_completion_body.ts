import { usageFields } from "./fake_model_engine.ts";
import type { ModelRun } from "./model_run.ts";

/** Builds the non-streaming response body of a finished run. */
export function chatCompletionBody(run: ModelRun): string {
  const content = Array.from(
    { length: run.usage.completionTokens },
    (_, index) => `w${index} `,
  ).join("");
  return JSON.stringify({
    id: run.requestId,
    object: "chat.completion",
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: "stop",
    }],
    usage: usageFields(run),
  });
}
