import type { AddressInfo, Server } from "node:net";

/** Splits `ip:port`; an IPv6 address stands in brackets. */
export function splitHostPort(
  address: string,
): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(at + 1)) };
}

/** Makes `server` listen on `ip:port`; resolves to the actual address. */
export async function listenOn(
  server: Server,
  address: string,
): Promise<string> {
  const { host, port } = splitHostPort(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}
