import { type AddressInfo, createServer } from "node:net";

/** Returns loopback ports that are currently free. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return ports;
}
