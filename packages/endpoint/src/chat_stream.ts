import { EndpointError } from "./endpoint_error.ts";
import type { StreamEvent } from "./endpoint_client.ts";
import { EventSequencer } from "./event_sequencer.ts";

/** Data of the final event of a complete response. */
export const DONE_DATA = "[DONE]";

/** Opens the stream (-1), or resumes it after the given sequence number. */
export type StreamOpener = (
  afterSequence: number,
) => Promise<AsyncIterable<StreamEvent>>;

/** Options of {@linkcode readChatStream}. */
export interface ReadChatStreamOptions {
  requestId: string;
  open: StreamOpener;
  signal: AbortSignal;
  /** Maximum consecutive resumes without a new event. */
  maxResumes?: number;
  /** Called before each resume of an interrupted stream. */
  onResume?: () => void;
}

const DEFAULT_MAX_RESUMES = 2;

/**
 * Yields the events of one response in order, up to and including `[DONE]`. A
 * stream interrupted after its first event is resumed after the last delivered
 * one. If it cannot be completed, `answer_incomplete` is thrown, so a truncated
 * response is never mistaken for a complete one.
 */
export async function* readChatStream({
  requestId,
  open,
  signal,
  maxResumes = DEFAULT_MAX_RESUMES,
  onResume = () => undefined,
}: ReadChatStreamOptions): AsyncIterable<StreamEvent> {
  const sequencer = new EventSequencer();
  let resumes = 0;
  let stream = await open(-1);
  for (;;) {
    const sequenceBefore = sequencer.nextSequence;
    const streamErr = yield* deliver(stream, sequencer, requestId);
    if (streamErr === undefined) {
      return;
    }
    if (signal.aborted) {
      throw streamErr;
    }
    resumes = sequencer.nextSequence > sequenceBefore ? 1 : resumes + 1;
    if (sequencer.nextSequence === 0 || resumes > maxResumes) {
      throw incompleteResponseError(sequencer.nextSequence, streamErr);
    }
    onResume();
    try {
      stream = await open(sequencer.nextSequence - 1);
    } catch (err) {
      throw incompleteResponseError(sequencer.nextSequence, err);
    }
  }
}

/** Returns undefined after `[DONE]`, or the error that ended the stream. */
async function* deliver(
  stream: AsyncIterable<StreamEvent>,
  sequencer: EventSequencer,
  requestId: string,
): AsyncGenerator<StreamEvent, Error | undefined> {
  try {
    for await (const event of stream) {
      if (!belongsTo(event, requestId)) {
        continue;
      }
      for (const ready of sequencer.accept(event)) {
        yield ready;
        if (ready.data === DONE_DATA) {
          return undefined;
        }
      }
    }
    return new Error("stream ended before its last event");
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err));
  }
}

function belongsTo(event: StreamEvent, requestId: string): boolean {
  return event.data === DONE_DATA || event.data.includes(`"${requestId}"`);
}

function incompleteResponseError(
  delivered: number,
  cause: unknown,
): EndpointError {
  if (delivered === 0 && cause instanceof EndpointError) {
    return cause;
  }
  return new EndpointError(
    delivered === 0 ? "endpoint_failed" : "answer_incomplete",
    `the answer broke off after ${delivered} events`,
    { cause, connectionLost: true },
  );
}
