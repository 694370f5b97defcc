import { Rng } from "@limpetshed/hashing";

/** Options of {@linkcode ChatGenerator}. */
export interface ChatGeneratorOptions {
  seed: number;
  /** Model services among which chats are distributed. */
  models: readonly string[];
  /** Number of long system prompts, each shared by many chats. */
  systemPromptCount?: number;
  /** Length of each system prompt in characters. */
  systemPromptChars?: number;
  /** Fraction of requests that continue an existing chat, from 0 to 1. */
  continuationFraction?: number;
  /** Maximum number of chats kept for continuation. */
  maxOpenChats?: number;
  /** `max_tokens` of each request. */
  maxTokens?: number;
}

/** One message of a generated chat. */
export interface GeneratedMessage {
  role: "system" | "user" | "assistant";
  content: string;
}

/** One request: a new user message and all earlier messages of its chat. */
export interface GeneratedTurn {
  chatId: string;
  turn: number;
  model: string;
  messages: GeneratedMessage[];
  maxTokens: number;
}

interface Chat {
  id: string;
  model: string;
  messages: GeneratedMessage[];
  turn: number;
  awaitsAnswer: boolean;
}

const MESSAGE_CHARS = 160;
const MAX_TURNS = 12;

/** Generates multi-turn chats with a seeded random number generator. */
export class ChatGenerator {
  readonly #options: Required<ChatGeneratorOptions>;
  readonly #rng: Rng;
  readonly #systemPrompts: string[];
  #chats: Chat[] = [];
  #createdCount = 0;

  constructor(options: ChatGeneratorOptions) {
    this.#options = {
      systemPromptCount: 4,
      systemPromptChars: 16_000,
      continuationFraction: 0.7,
      maxOpenChats: 200,
      maxTokens: 24,
      ...options,
    };
    this.#rng = new Rng(options.seed);
    this.#systemPrompts = Array.from(
      { length: this.#options.systemPromptCount },
      (_, index) =>
        this.#randomText(`catalogue ${index}`, this.#options.systemPromptChars),
    );
  }

  /** Returns the next turn, of an idle existing chat or of a new one. */
  next(): GeneratedTurn {
    const continues = this.#rng.fraction() < this.#options.continuationFraction;
    const idle = this.#chats.filter((chat) => !chat.awaitsAnswer);
    const chat = (continues ? this.#rng.pick(idle) : undefined) ??
      this.#createChat();
    chat.awaitsAnswer = true;
    chat.turn += 1;
    chat.messages.push({
      role: "user",
      content: this.#randomText(`${chat.id} turn ${chat.turn}`, MESSAGE_CHARS),
    });
    return {
      chatId: chat.id,
      turn: chat.turn,
      model: chat.model,
      messages: [...chat.messages],
      maxTokens: this.#options.maxTokens,
    };
  }

  /** Appends the answer to its chat; drops a failed or finished chat. */
  answered(turn: GeneratedTurn, answer: string | undefined): void {
    const chat = this.#chats.find((other) => other.id === turn.chatId);
    if (chat === undefined) {
      return;
    }
    if (answer === undefined || chat.turn >= MAX_TURNS) {
      this.#chats = this.#chats.filter((other) => other !== chat);
      return;
    }
    chat.messages.push({ role: "assistant", content: answer });
    chat.awaitsAnswer = false;
  }

  #createChat(): Chat {
    this.#createdCount += 1;
    const id = `chat-${this.#options.seed}-${this.#createdCount}`;
    const systemPrompt = this.#rng.pick(this.#systemPrompts) ?? "";
    const chat: Chat = {
      id,
      model: this.#rng.pick(this.#options.models) ?? "",
      messages: [{ role: "system", content: systemPrompt }],
      turn: 0,
      awaitsAnswer: false,
    };
    this.#chats.push(chat);
    if (this.#chats.length > this.#options.maxOpenChats) {
      const idle = this.#chats.findIndex((other) => !other.awaitsAnswer);
      this.#chats.splice(Math.max(0, idle), 1);
    }
    return chat;
  }

  #randomText(topic: string, chars: number): string {
    let text = `${topic}: `;
    while (text.length < chars) {
      text += `${this.#rng.int(1_000_000).toString(36)} `;
    }
    return text.slice(0, chars);
  }
}
