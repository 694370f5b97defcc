import { hash64 } from "@limpetshed/hashing";

/** The fields of a chat message from which keys are derived. */
export interface ChatKeyMessage {
  role?: unknown;
  content?: unknown;
}

/** Input of {@linkcode chatKeys}. */
export interface ChatKeyInput {
  member: string;
  service: string;
  /** Chat identity given by the caller, if any. */
  explicitKey?: string;
  messages: readonly ChatKeyMessage[];
}

/** Keys of one chat request. */
export interface ChatKeys {
  /** Equal for every turn of a chat. */
  chatKey: bigint;
  /**
   * Equal for all chats that share a long prefix; undefined if the prefix is
   * shorter than `MIN_PREFIX_CHARS`.
   */
  prefixKey: bigint | undefined;
}

/** Shortest prefix, in characters, that is worth its own key. */
const MIN_PREFIX_CHARS = 1_024;

/**
 * Derives the keys of a chat. Without an explicit key, a chat is identified by
 * its messages up to the first user message, because every turn repeats them.
 */
export function chatKeys(
  { member, service, explicitKey, messages }: ChatKeyInput,
): ChatKeys {
  const firstUser = messages.findIndex(({ role }) => role === "user");
  const openingMessages = firstUser < 0
    ? messages
    : messages.slice(0, firstUser + 1);
  // The letters keep explicit keys and message texts from colliding.
  const identity = explicitKey === undefined
    ? `m\u0000${openingMessages.map(messageText).join("\u0000")}`
    : `k\u0000${explicitKey}`;
  const prefixText = messages
    .slice(0, Math.max(0, firstUser))
    .map(messageText)
    .join("\u0000");
  return {
    chatKey: hash64(`${member}\u0000${service}\u0000${identity}`),
    prefixKey: prefixText.length < MIN_PREFIX_CHARS
      ? undefined
      : hash64(`${service}\u0000${prefixText}`),
  };
}

function messageText({ role, content }: ChatKeyMessage): string {
  const text = typeof content === "string" ? content : JSON.stringify(content);
  return `${String(role)}:${text}`;
}
