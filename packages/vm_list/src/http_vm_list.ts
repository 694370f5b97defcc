import { request } from "undici";
import { RouterError } from "@limpetshed/errors";
import { type VmChanges, VmList } from "./vm_list.ts";

const DEFAULT_REQUEST_TIMEOUT_MS = 2_000;

/** Reads the platform's vm list over HTTP with `GET /v1/vms?since=N`. */
export class HttpVmList extends VmList {
  readonly #url: string;
  readonly #timeoutMs: number;

  constructor(
    { url, timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS }: {
      url: string;
      timeoutMs?: number;
    },
  ) {
    super();
    this.#url = url.replace(/\/$/, "");
    this.#timeoutMs = timeoutMs;
  }

  async changes(sinceSequence: number): Promise<VmChanges> {
    try {
      const res = await request(`${this.#url}/v1/vms?since=${sinceSequence}`, {
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        throw new Error(`status ${res.statusCode}`);
      }
      return (await res.body.json()) as VmChanges;
    } catch (err) {
      throw new RouterError(
        "endpoint_unreachable",
        "the vm list does not answer",
        { cause: err },
      );
    }
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
