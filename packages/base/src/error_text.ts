/** Message of a caught value, for logs and error messages. */
export function errorText(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
