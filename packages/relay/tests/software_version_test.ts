import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  type ReceivedResponse,
  RelayFixture,
  type RequestHandler,
} from "./relay_fixture.ts";

const VERSIONS = ["v1", "v2", "v1", "v2"] as const;
/** Streams of each test; enough for every endpoint to begin some. */
const STREAM_COUNT = 12;
const NOT_RUN_STATUS = 503;

const event = (id: number, text: string) => `id: ${id}\ndata: ${text}\n\n`;

/** Begins a stream and resets it after its first event; completes it if it is
 * resumed. Each event names the version that wrote it. */
function breakingStream(version: string): RequestHandler {
  return (request, res, socket) => {
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-id": request.id,
      "x-signed": "1",
    });
    if (request.headers["last-event-id"] === undefined) {
      res.write(event(1, version), () => socket.resetAndDestroy());
    } else {
      res.end(event(2, version));
    }
  };
}

/** As `breakingStream`, but completes no resumed stream either. */
function brokenStream(version: string): RequestHandler {
  return (request, res, socket) => {
    const isResumed = request.headers["last-event-id"] !== undefined;
    breakingStream(version)(
      { ...request, headers: isResumed ? {} : request.headers },
      res,
      socket,
    );
  };
}

function versionsIn({ body }: ReceivedResponse): string[] {
  return [...body.matchAll(/data: (\S+)/g)].map(([, version]) => version!);
}

// A stream went on at another software version than the one that began it.
describe("a node before endpoints of two software versions", () => {
  let fixture: RelayFixture;
  let versionsTried: string[];

  beforeEach(() => {
    fixture = new RelayFixture();
    versionsTried = [];
  });

  afterEach(() => fixture.close());

  async function start(
    makeHandler: (version: string) => RequestHandler,
    versions: readonly string[] = VERSIONS,
  ): Promise<void> {
    await fixture.start(...versions.map(makeHandler));
    setVersions(versions);
  }

  function setVersions(versions: readonly string[]): void {
    versions.forEach((softwareVersion, index) => {
      const { entry } = fixture.node.registry.get(`e${index + 1}`)!;
      fixture.node.registry.put({ ...entry, softwareVersion });
    });
  }

  /** Makes the endpoints of other versions leave. */
  function setReady(...versions: string[]): void {
    fixture.endpoints.forEach((_endpoint, index) => {
      const { entry } = fixture.node.registry.get(`e${index + 1}`)!;
      const isReady = versions.includes(entry.softwareVersion ?? "");
      const state = isReady ? "ready" : "leaving";
      fixture.node.registry.put({ ...entry, state });
    });
  }

  it("resumes broken streams only at their versions", async () => {
    await start(breakingStream);
    for (let index = 0; index < STREAM_COUNT; index += 1) {
      const res = await fixture.send("/resume/", { id: `r${index}` });
      const [first, second] = versionsIn(res);
      expect(second).to.equal(first);
      expect(res.isComplete).to.equal(true);
    }
  });

  it("breaks a stream off at once if its version has no other endpoint", async () => {
    await start(breakingStream, ["v1", "v2"]);
    const startMs = performance.now();
    const res = await fixture.send("/resume/");
    expect(performance.now() - startMs).to.be.below(1_000);
    expect(versionsIn(res)).to.have.length(1);
    expect(res.isComplete).to.equal(false);
  });

  it("sends streams that clients resume to their versions", async () => {
    await start(brokenStream);
    const begun: string[] = [];
    for (let index = 0; index < STREAM_COUNT; index += 1) {
      setReady(index % 2 === 0 ? "v1" : "v2");
      const res = await fixture.send("/resume/", { id: `r${index}` });
      begun.push(versionsIn(res)[0]!);
    }
    setReady("v1", "v2");
    fixture.endpoints.forEach((endpoint, index) => {
      endpoint.handler = breakingStream(VERSIONS[index]!);
    });
    for (let index = 0; index < STREAM_COUNT; index += 1) {
      const { body, isComplete } = await fixture.send("/resume/", {
        id: `again${index}`,
        headers: { "x-resumes": `r${index}`, "last-event-id": "1" },
      });
      expect(body).to.equal(event(2, begun[index]!));
      expect(isComplete).to.equal(true);
    }
  });

  for (
    const [name, headers] of [
      ["of an unknown request", { "x-resumes": "x", "last-event-id": "1" }],
      ["of no named request", { "last-event-id": "1" }],
      ["after no named event", { "x-resumes": "x" }],
      [
        "of a request with a long id",
        { "x-resumes": "x".repeat(2_000), "last-event-id": "1" },
      ],
    ] as const
  ) {
    it(`rejects the resumption ${name}`, async () => {
      await start(breakingStream);
      const res = await fixture.send("/resume/", { headers });
      expect(res.status).to.equal(NOT_RUN_STATUS);
      expect(Number(res.headers["retry-after"])).to.be.above(0);
      fixture.endpoints.forEach(({ requests }) =>
        expect(requests).to.have.length(0)
      );
    });
  }

  it("rejects the resumption of a stream whose version is gone", async () => {
    await start(brokenStream, ["v1"]);
    await fixture.send("/resume/", { id: "r1" });
    setVersions(["v2"]);
    const before = fixture.endpoints[0]!.requests.length;
    const res = await fixture.send("/resume/", {
      headers: { "x-resumes": "r1", "last-event-id": "1" },
    });
    expect(res.status).to.equal(NOT_RUN_STATUS);
    expect(fixture.endpoints[0]!.requests).to.have.length(before);
  });

  // An endpoint came back with its id and address at another version, and a
  // stream of the old one went on there before its new entry was seen.
  it("does not resume on a connection newer than the entry of its endpoint", async () => {
    await start(brokenStream, ["v1"]);
    await fixture.send("/resume/", { id: "r1" });
    fixture.viewConfirmedMs = performance.now();
    fixture.endpoints[0]!.handler = breakingStream("v2");
    const res = await fixture.send("/resume/", {
      headers: { "x-resumes": "r1", "last-event-id": "1" },
    });
    expect(versionsIn(res)).to.deep.equal([]);
  });

  it("confirms its view before it resumes on a new connection", async () => {
    await start(brokenStream, ["v1"]);
    await fixture.send("/resume/", { id: "r1" });
    fixture.viewConfirmedMs = performance.now();
    fixture.endpoints[0]!.handler = breakingStream("v1");
    const confirmed: number[] = [];
    fixture.confirmView = (afterMs) => {
      confirmed.push(performance.now() - afterMs);
      fixture.viewConfirmedMs = performance.now();
      return Promise.resolve(true);
    };
    const res = await fixture.send("/resume/", {
      headers: { "x-resumes": "r1", "last-event-id": "1" },
    });
    expect(versionsIn(res)).to.deep.equal(["v1"]);
    expect(res.isComplete).to.equal(true);
    expect(confirmed.filter((ms) => ms >= 0)).to.have.length(1);
  });

  it("does not resume at an endpoint that its view confirms to be another", async () => {
    await start(brokenStream, ["v1", "v1"]);
    await fixture.send("/resume/", { id: "r1" });
    fixture.viewConfirmedMs = performance.now();
    fixture.endpoints.forEach((endpoint) => {
      endpoint.handler = breakingStream("v2");
    });
    fixture.confirmView = () => {
      setVersions(["v2", "v2"]);
      return Promise.resolve(true);
    };
    const res = await fixture.send("/resume/", {
      headers: { "x-resumes": "r1", "last-event-id": "1" },
    });
    expect(versionsIn(res)).to.deep.equal([]);
    expect(res.status).to.equal(NOT_RUN_STATUS);
  });

  // A stream that began at an endpoint which had come back at another version was
  // recorded at the version of its old entry, and went on at that one.
  it("does not record a stream that begins on a connection newer than the entry of its endpoint", async () => {
    await start(brokenStream, ["v1", "v1"]);
    fixture.viewConfirmedMs = performance.now();
    fixture.confirmView = () => {
      setVersions(["v2", "v1"]);
      fixture.viewConfirmedMs = performance.now();
      return Promise.resolve(true);
    };
    fixture.endpoints[0]!.handler = brokenStream("v2");
    fixture.endpoints[1]!.handler = breakingStream("v1");
    const { body } = await fixture.send("/resume/", { id: "r1" });
    const res = await fixture.send("/resume/", {
      headers: { "x-resumes": "r1", "last-event-id": "1" },
    });
    const versions = versionsIn({ ...res, body: body + res.body });
    expect(new Set(versions).size).to.equal(1);
  });

  /** Loses the first attempt of each request, after `beforeLoss`; completes the
   * next one. */
  function lostAttempt(
    version: string,
    beforeLoss: () => void,
  ): RequestHandler {
    return (request, res, socket) => {
      versionsTried.push(version);
      const attempts = fixture.endpoints.flatMap(({ requests }) => requests)
        .filter(({ id }) => id === request.id);
      if (attempts.length === 1) {
        beforeLoss();
        socket.resetAndDestroy();
        return;
      }
      res.writeHead(200, {
        "content-type": "text/event-stream",
        "x-id": request.id,
        "x-signed": "1",
      });
      res.end(event(1, version));
    };
  }

  // The first attempt of a request was recorded at one version and lost, the next
  // one began the stream at another: other nodes resumed it at the first.
  it("begins a stream at the version at which it was reported before", async () => {
    const report = () =>
      fixture.node.streamOrigins.takeReports({
        needsRecord: () => true,
        max: 10,
      });
    await start((version) => lostAttempt(version, () => void report()));
    for (let index = 0; index < STREAM_COUNT; index += 1) {
      versionsTried = [];
      const { status } = await fixture.send("/resume/", { id: `r${index}` });
      expect(status).to.equal(200);
      expect(versionsTried).to.have.length(2);
      expect(versionsTried[1]).to.equal(versionsTried[0]);
    }
  });

  it("begins a stream at any version while no other node knows of it", async () => {
    await start((version) => lostAttempt(version, () => undefined));
    setReady("v1");
    fixture.endpoints.forEach((endpoint, index) => {
      endpoint.handler = lostAttempt(VERSIONS[index]!, () => setReady("v2"));
    });
    const { status, body } = await fixture.send("/resume/", { id: "r" });
    expect(status).to.equal(200);
    expect(body).to.equal(event(1, "v2"));
    const [group] = fixture.node.streamOrigins.takeReports({
      needsRecord: () => true,
      max: 10,
    });
    expect(group).to.equal(undefined);
  });
});
