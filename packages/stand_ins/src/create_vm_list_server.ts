import { LoopbackHttpServer, sendJson } from "./loopback_http_server.ts";
import type { FakeVmList } from "./fake_vm_list.ts";

/** Creates a server for a {@linkcode FakeVmList} at `GET /v1/vms?since=N`. */
export function createVmListServer(list: FakeVmList): LoopbackHttpServer {
  return new LoopbackHttpServer(async (req, res) => {
    const url = new URL(req.url ?? "/", "http://localhost");
    if (url.pathname !== "/v1/vms") {
      sendJson(res, 404, { error: "no such path" });
      return;
    }
    const since = Number(url.searchParams.get("since") ?? "0");
    sendJson(res, 200, await list.changes(since));
  });
}
