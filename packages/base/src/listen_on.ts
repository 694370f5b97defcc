import type { AddressInfo, Server } from "node:net";

/** Splits `ip:port`; IPv6 addresses are enclosed in brackets. */
export function splitHostPort(
  address: string,
): { host: string; port: number } {
  const colonIndex = address.lastIndexOf(":");
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colonIndex + 1)) };
}

/** Makes `server` listen on `ip:port`; resolves to the bound address. */
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
