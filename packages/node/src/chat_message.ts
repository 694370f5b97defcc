/** One message of a chat as far as routing reads it. */
export interface ChatMessage {
  role?: unknown;
  content?: unknown;
}
