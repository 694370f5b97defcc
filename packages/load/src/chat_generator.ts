import { Rng } from "@limpetshed/hashing";

/** Options of {@linkcode ChatGenerator}. */
export interface ChatGeneratorOptions {
  seed: number;
  /** Services that chats are sent to. */
  models: readonly string[];
  /** Long leading texts shared by many chats, per model. */
  catalogues?: number;
  /** Characters of each leading text. */
  catalogueChars?: number;
  /** Part of the requests that continue a known chat. */
  returning?: number;
  /** Most chats that may return. */
  maxChats?: number;
  /** Tokens asked for in each answer. */
  maxTokens?: number;
}

/** One message. */
export interface GeneratedMessage {
  role: "system" | "user" | "assistant";
  content: string;
}

/** One turn of a chat. */
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
  busy: boolean;
}

const MESSAGE_CHARS = 160;
const MAX_TURNS = 12;

/** Makes chats whose turns repeat all earlier messages; seeded. */
export class ChatGenerator {
  readonly #options: Required<ChatGeneratorOptions>;
  readonly #rng: Rng;
  readonly #catalogues: string[];
  #chats: Chat[] = [];
  #made = 0;

  constructor(options: ChatGeneratorOptions) {
    this.#options = {
      catalogues: 4,
      catalogueChars: 16_000,
      returning: 0.7,
      maxChats: 200,
      maxTokens: 24,
      ...options,
    };
    this.#rng = new Rng(options.seed);
    this.#catalogues = Array.from(
      { length: this.#options.catalogues },
      (_, index) =>
        this.#text(`catalogue ${index}`, this.#options.catalogueChars),
    );
  }

  /** The next turn: of a known chat, or of a new one. */
  next(): GeneratedTurn {
    const returning = this.#rng.fraction() < this.#options.returning;
    const idle = this.#chats.filter((chat) => !chat.busy);
    const chat = (returning ? this.#rng.pick(idle) : undefined) ??
      this.#newChat();
    chat.busy = true;
    chat.turn += 1;
    chat.messages.push({
      role: "user",
      content: this.#text(`${chat.id} turn ${chat.turn}`, MESSAGE_CHARS),
    });
    return {
      chatId: chat.id,
      turn: chat.turn,
      model: chat.model,
      messages: [...chat.messages],
      maxTokens: this.#options.maxTokens,
    };
  }

  /** Adds the answer to a turn, or drops the chat when there was none. */
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
    chat.busy = false;
  }

  #newChat(): Chat {
    this.#made += 1;
    const id = `chat-${this.#options.seed}-${this.#made}`;
    const catalogue = this.#rng.pick(this.#catalogues) ?? "";
    const chat: Chat = {
      id,
      model: this.#rng.pick(this.#options.models) ?? "",
      messages: [{ role: "system", content: catalogue }],
      turn: 0,
      busy: false,
    };
    this.#chats.push(chat);
    if (this.#chats.length > this.#options.maxChats) {
      const idle = this.#chats.findIndex((other) => !other.busy);
      this.#chats.splice(Math.max(0, idle), 1);
    }
    return chat;
  }

  #text(topic: string, chars: number): string {
    let text = `${topic}: `;
    while (text.length < chars) {
      text += `${this.#rng.int(1_000_000).toString(36)} `;
    }
    return text.slice(0, chars);
  }
}
