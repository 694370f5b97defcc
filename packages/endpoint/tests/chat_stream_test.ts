import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { DONE_DATA, readChatStream } from "../src/chat_stream.ts";
import type { StreamEvent } from "../src/endpoint_client.ts";
import { EndpointError } from "../src/endpoint_error.ts";

const ID = "request-1";

function chatEvents(length: number): StreamEvent[] {
  return Array.from({ length: length + 1 }, (_, sequence) => ({
    sequence,
    data: sequence === length ? DONE_DATA : `{"id":"${ID}","at":${sequence}}`,
  }));
}

async function* streamOf(
  events: readonly StreamEvent[],
): AsyncIterable<StreamEvent> {
  for (const event of events) {
    yield await Promise.resolve(event);
  }
}

async function collect(
  open: (after: number) => Promise<AsyncIterable<StreamEvent>>,
): Promise<{ data: string[]; err: unknown }> {
  const data: string[] = [];
  const { signal } = new AbortController();
  try {
    for await (const event of readChatStream({ requestId: ID, open, signal })) {
      data.push(event.data);
    }
    return { data, err: undefined };
  } catch (err) {
    return { data, err };
  }
}

describe("readChatStream", () => {
  it("delivers each event once and in order, whatever the arrival order", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 12 }),
        fc.array(fc.nat(), { minLength: 27, maxLength: 27 }),
        async (length, sortKeys) => {
          const expected = chatEvents(length);
          const otherRequest = { sequence: 0, data: '{"id":"request-2"}' };
          const shuffled = [...expected, ...expected, otherRequest]
            .map((event, index) => ({ event, key: sortKeys[index] ?? 0 }))
            .sort((a, b) => a.key - b.key)
            .map(({ event }) => event);
          const { data, err } = await collect(() =>
            Promise.resolve(streamOf(shuffled))
          );
          expect(err).to.equal(undefined);
          expect(data).to.deep.equal(expected.map((event) => event.data));
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  it("resumes a broken stream after the last delivered event", async () => {
    const expected = chatEvents(6);
    const openedAfter: number[] = [];
    const { data, err } = await collect((after) => {
      openedAfter.push(after);
      return Promise.resolve(streamOf(expected.slice(after + 1, after + 4)));
    });
    expect(err).to.equal(undefined);
    expect(data).to.have.length(7);
    expect(openedAfter).to.deep.equal([-1, 2, 5]);
  });

  it("throws answer_incomplete when the rest cannot be read", async () => {
    const { data, err } = await collect((after) =>
      after < 0
        ? Promise.resolve(streamOf(chatEvents(6).slice(0, 3)))
        : Promise.reject(new EndpointError("endpoint_unreachable", "gone"))
    );
    expect(data).to.have.length(3);
    expect(err).to.be.instanceOf(EndpointError);
    expect((err as EndpointError).kind).to.equal("answer_incomplete");
  });

  it("preserves the run state of an error before the first event", async () => {
    const { err } = await collect(() =>
      Promise.reject(new EndpointError("endpoint_unreachable", "refused"))
    );
    expect((err as EndpointError).run).to.equal("not-run");
  });
});
