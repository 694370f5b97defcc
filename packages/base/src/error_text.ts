/** What a caught value says, for logs and messages. */
export function errorText(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
