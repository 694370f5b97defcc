import { HOP_BY_HOP_HEADERS } from "@limpetshed/base";

/** Non-standard hop-by-hop header that some clients send to proxies. */
const PROXY_CONNECTION = "proxy-connection";

/** Lower-case names of the hop-by-hop headers, including those listed in the
 * `connection` header. */
export function hopByHopHeaders(connection: string | undefined): Set<string> {
  const names = new Set([...HOP_BY_HOP_HEADERS, PROXY_CONNECTION]);
  for (const name of connection?.split(",") ?? []) {
    names.add(name.trim().toLowerCase());
  }
  return names;
}

/** Filters a raw header list (names and values alternating) by lower-case
 * name. */
export function filterHeaders(
  raw: readonly string[],
  accept: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (accept(raw[i]!.toLowerCase())) {
      kept.push(raw[i]!, raw[i + 1]!);
    }
  }
  return kept;
}
