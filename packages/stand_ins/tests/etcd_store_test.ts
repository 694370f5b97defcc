import { expect } from "chai";
import { describe, it } from "mocha";
import { SystemClock } from "@limpetshed/base";
import type { RouterError } from "@limpetshed/errors";
import { EtcdStore } from "@limpetshed/store";
import { FakeEtcdServer } from "../src/fake_etcd_server.ts";
import { KvEngine } from "../src/kv_engine.ts";

const encode = (value: string) => new TextEncoder().encode(value);

describe("EtcdStore against the fake etcd server", () => {
  const clock = new SystemClock();
  const server = new FakeEtcdServer({
    clock,
    engine: new KvEngine({ clock }),
  });
  let store: EtcdStore;
  let url = "";

  const put = (key: string) =>
    store.transact({
      conditions: [{ kind: "absent", key }],
      writes: [{ kind: "put", key, value: encode("1") }],
      readOnFailure: [key],
    });

  before(async () => {
    url = await server.listen();
    store = new EtcdStore({ url, timeoutMs: 300 });
  });

  after(async () => {
    await store.close();
    await server.close();
  });

  it("creates a key if absent, else returns the existing entry", async () => {
    const first = await put("a");
    const second = await put("a");
    expect(first.succeeded).to.equal(true);
    expect(second.succeeded).to.equal(false);
    expect(second.entries[0]!.modRevision).to.equal(first.revision);
  });

  it("lists by prefix", async () => {
    await put("p/1");
    await put("p/2");
    await put("q/1");
    const keys = (await store.list("p/")).map(({ key }) => key);
    expect(keys).to.deep.equal(["p/1", "p/2"]);
  });

  it("yields changes once the watch is open", async () => {
    const controller = new AbortController();
    const seen: string[] = [];
    const opened = new Promise<void>((resolve) => {
      void (async () => {
        const changes = store.watch("w", {
          signal: controller.signal,
          onOpen: resolve,
        });
        for await (const { key } of changes) {
          seen.push(key);
          controller.abort();
        }
      })();
    });
    await opened;
    await put("w");
    while (!controller.signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(seen).to.deep.equal(["w"]);
  });

  it("distinguishes an unknown outcome from a rejected write", async () => {
    const putOutcome = () =>
      put("k").then(() => "ok", (err: RouterError) => err.kind);
    server.faults.choose = () => "answer_lost";
    expect(await putOutcome()).to.equal("store_outcome_unknown");
    server.faults.choose = () => "rate_limited";
    expect(await putOutcome()).to.equal("store_unavailable");
    server.faults.choose = () => "none";
    const unreachable = new EtcdStore({ url: "http://127.0.0.1:1" });
    const outcome = await unreachable.transact({ conditions: [], writes: [] })
      .then(() => "ok", (err: RouterError) => err.kind);
    expect(outcome).to.equal("store_unavailable");
    await unreachable.close();
  });

  it("renews and revokes leases", async () => {
    const { id } = await store.grantLease(5_000);
    expect(await store.keepAlive(id)).to.equal(true);
    await store.revokeLease(id);
    expect(await store.keepAlive(id)).to.equal(false);
  });
});
