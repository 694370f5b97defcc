import { EndpointError } from "./endpoint_error.ts";
import type { StreamEvent } from "./endpoint_client.ts";
import { EventSequencer } from "./event_sequencer.ts";

/** Data of the event that ends a whole answer. */
export const DONE_DATA = "[DONE]";

/** Opens the stream, or opens it again after the given sequence number. */
export type StreamOpener = (
  afterSequence: number,
) => Promise<AsyncIterable<StreamEvent>>;

/** Options of {@linkcode readAnswer}. */
export interface ReadAnswerOptions {
  requestId: string;
  open: StreamOpener;
  signal: AbortSignal;
  /** Most times a broken stream is opened again without progress. */
  maxResumes?: number;
  /** Called each time a broken stream is opened again. */
  onResume?: () => void;
}

const DEFAULT_MAX_RESUMES = 2;

/**
 * Yields the events of one answer in order through `[DONE]`. A break after
 * the first event is resumed from the last delivered one; what cannot be
 * completed ends in `answer_incomplete`, never like a whole answer.
 */
export async function* readAnswer({
  requestId,
  open,
  signal,
  maxResumes = DEFAULT_MAX_RESUMES,
  onResume = () => undefined,
}: ReadAnswerOptions): AsyncIterable<StreamEvent> {
  const sequencer = new EventSequencer();
  let resumes = 0;
  let stream = await open(-1);
  for (;;) {
    const before = sequencer.next;
    const broken = yield* deliver(stream, sequencer, requestId);
    if (broken === undefined) {
      return;
    }
    if (signal.aborted) {
      throw broken;
    }
    resumes = sequencer.next > before ? 1 : resumes + 1;
    if (sequencer.next === 0 || resumes > maxResumes) {
      throw incomplete(sequencer.next, broken);
    }
    onResume();
    try {
      stream = await open(sequencer.next - 1);
    } catch (err) {
      throw incomplete(sequencer.next, err);
    }
  }
}

/** Returns undefined once `[DONE]` was delivered, else why the stream broke. */
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

function incomplete(delivered: number, cause: unknown): EndpointError {
  if (delivered === 0 && cause instanceof EndpointError) {
    return cause;
  }
  return new EndpointError(
    delivered === 0 ? "endpoint_failed" : "answer_incomplete",
    `the answer broke off after ${delivered} events`,
    { cause, connectionLost: true },
  );
}
