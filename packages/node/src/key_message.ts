/** One message of a chat as far as routing reads it. */
export interface KeyMessage {
  role?: unknown;
  content?: unknown;
}
