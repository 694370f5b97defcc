import { hash64 } from "@limpetshed/hashing";

/** Chat message. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** Cache entry of one chat message in its prefix. */
export interface CachedBlock {
  tokens: number;
  chatKey: string;
}

const CHARS_PER_TOKEN = 4;

/** Estimates the token count of a text from its length. */
export function countTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN));
}

/**
 * Prompt prefix cache of limited size, with one block per message and
 * least-recently-used eviction.
 */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #blocks = new Map<string, CachedBlock>();
  #usedTokens = 0;
  /** Called with the chat key of each evicted block. */
  onEvict: (chatKey: string) => void = () => undefined;

  constructor({ capacityTokens }: { capacityTokens: number }) {
    this.#capacityTokens = capacityTokens;
  }

  /** Returns the tokens of the longest cached prefix; recency is unchanged. */
  countCachedTokens(messages: readonly ChatMessage[]): number {
    let cached = 0;
    for (const { key, tokens } of blockKeys(messages)) {
      if (!this.#blocks.has(key)) {
        break;
      }
      cached += tokens;
    }
    return cached;
  }

  /** Caches a chat's messages and marks them as most recently used. */
  store(messages: readonly ChatMessage[], chatKey: string): void {
    for (const { key, tokens } of blockKeys(messages)) {
      if (this.#blocks.delete(key)) {
        this.#usedTokens -= tokens;
      }
      this.#blocks.set(key, { tokens, chatKey });
      this.#usedTokens += tokens;
    }
    this.#evictDownTo(this.#capacityTokens);
  }

  /** Evicts blocks until at most `fraction` of the capacity is used. */
  evictTo(fraction: number): void {
    this.#evictDownTo(this.#capacityTokens * fraction);
  }

  /** Returns the blocks of the given chats with their keys. */
  exportChats(chatKeys: ReadonlySet<string>): [string, CachedBlock][] {
    return [...this.#blocks].filter(([, block]) => chatKeys.has(block.chatKey));
  }

  /** Adds blocks exported by another cache; known blocks are kept. */
  importBlocks(blocks: readonly [string, CachedBlock][]): void {
    for (const [key, block] of blocks) {
      if (!this.#blocks.has(key)) {
        this.#blocks.set(key, block);
        this.#usedTokens += block.tokens;
      }
    }
    this.#evictDownTo(this.#capacityTokens);
  }

  #evictDownTo(limit: number): void {
    for (const [key, block] of this.#blocks) {
      if (this.#usedTokens <= limit) {
        return;
      }
      this.#blocks.delete(key);
      this.#usedTokens -= block.tokens;
      this.onEvict(block.chatKey);
    }
  }
}

/** Returns the key and size of each block; a key covers the whole prefix. */
function blockKeys(
  messages: readonly ChatMessage[],
): { key: string; tokens: number }[] {
  let chain = "";
  return messages.map(({ role, content }) => {
    chain = hash64(`${chain}|${role}|${content}`).toString(16);
    return { key: chain, tokens: countTokens(content) };
  });
}
