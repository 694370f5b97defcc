import { HOP_HEADERS } from "@limpetshed/base";

/** A header of no standard that some callers send to proxies. */
const PROXY_CONNECTION = "proxy-connection";

/** Names of the headers that concern one connection, those listed in
 * `connection` included, lower case. */
export function hopHeaders(connection: string | undefined): Set<string> {
  const names = new Set([...HOP_HEADERS, PROXY_CONNECTION]);
  for (const name of connection?.split(",") ?? []) {
    names.add(name.trim().toLowerCase());
  }
  return names;
}

/** Keeps the names and values whose lower-case name `keeps` accepts. */
export function filterHeaders(
  raw: readonly string[],
  keeps: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (keeps(raw[at]!.toLowerCase())) {
      kept.push(raw[at]!, raw[at + 1]!);
    }
  }
  return kept;
}
