import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { DONE_DATA, readAnswer } from "../src/answer_stream.ts";
import type { StreamEvent } from "../src/endpoint_client.ts";
import { EndpointError } from "../src/endpoint_error.ts";

const ID = "request-1";

function answer(length: number): StreamEvent[] {
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
    for await (const event of readAnswer({ requestId: ID, open, signal })) {
      data.push(event.data);
    }
    return { data, err: undefined };
  } catch (err) {
    return { data, err };
  }
}

describe("readAnswer", () => {
  it("delivers each event once and in order, however they come", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 12 }),
        fc.array(fc.nat(), { minLength: 27, maxLength: 27 }),
        async (length, numbers) => {
          const whole = answer(length);
          const foreign = { sequence: 0, data: '{"id":"request-2"}' };
          const mixed = [...whole, ...whole, foreign]
            .map((event, index) => ({ event, key: numbers[index] ?? 0 }))
            .sort((a, b) => a.key - b.key)
            .map(({ event }) => event);
          const { data, err } = await collect(() =>
            Promise.resolve(streamOf(mixed))
          );
          expect(err).to.equal(undefined);
          expect(data).to.deep.equal(whole.map((event) => event.data));
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  it("resumes a broken stream after the last delivered event", async () => {
    const whole = answer(6);
    const asked: number[] = [];
    const { data, err } = await collect((after) => {
      asked.push(after);
      return Promise.resolve(streamOf(whole.slice(after + 1, after + 4)));
    });
    expect(err).to.equal(undefined);
    expect(data).to.have.length(7);
    expect(asked).to.deep.equal([-1, 2, 5]);
  });

  it("never ends normally when the rest is lost", async () => {
    const { data, err } = await collect((after) =>
      after < 0
        ? Promise.resolve(streamOf(answer(6).slice(0, 3)))
        : Promise.reject(new EndpointError("endpoint_unreachable", "gone"))
    );
    expect(data).to.have.length(3);
    expect(err).to.be.instanceOf(EndpointError);
    expect((err as EndpointError).kind).to.equal("answer_incomplete");
  });

  it("keeps the run state of a failure before the first event", async () => {
    const { err } = await collect(() =>
      Promise.reject(new EndpointError("endpoint_unreachable", "refused"))
    );
    expect((err as EndpointError).run).to.equal("not-run");
  });
});
