import { hash64 } from "@limpetshed/hashing";

/** One message of a chat, as far as keys depend on it. */
export interface ChatKeyMessage {
  role?: unknown;
  content?: unknown;
}

/** What the keys of a chat are made from. */
export interface ChatKeyInput {
  member: string;
  service: string;
  /** Identity given by the caller, if any. */
  explicitKey?: string;
  messages: readonly ChatKeyMessage[];
}

/** Keys of one chat request. */
export interface ChatKeys {
  /** The same for every turn of a chat. */
  chatKey: bigint;
  /** The same for all chats with one long leading text; undefined if short. */
  prefixKey: bigint | undefined;
}

/** Characters from which a shared leading text is worth a key of its own. */
const MIN_PREFIX_CHARS = 1_024;

/**
 * Makes the keys of a chat. Without an explicit identity, a chat is known by
 * its messages up to the first of the user's, which every turn repeats.
 */
export function chatKeys(
  { member, service, explicitKey, messages }: ChatKeyInput,
): ChatKeys {
  const firstUser = messages.findIndex(({ role }) => role === "user");
  const openingMessages = firstUser < 0
    ? messages
    : messages.slice(0, firstUser + 1);
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
