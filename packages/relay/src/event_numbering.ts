const NUMBER_PATTERN = /^\d{1,15}$/;

/**
 * Checks that the events of a stream follow each other, over several responses.
 * Ids are numbers that increase. Where they were consecutive, the first event of a
 * continuation has to be the next one. Ids that are no numbers are not checked.
 */
export class EventNumbering {
  #last: number | undefined;
  #steps = 0;
  #isConsecutive = true;
  #isContinued = false;

  /** `lastEventId` is that of the event after which the stream goes on, if it has
   * begun. */
  constructor(lastEventId?: string) {
    this.#last = parse(lastEventId);
  }

  /** Records that the events to come are those of another response. */
  beginContinuation(): void {
    this.#isContinued = true;
  }

  /** Whether events with these ids follow those before, which they then are. */
  accept(ids: readonly string[]): boolean {
    let last = this.#last;
    let isContinued = this.#isContinued;
    for (const id of ids.map(parse)) {
      if (id === undefined) {
        continue;
      }
      const step = last === undefined ? 1 : id - last;
      const isGap = isContinued && this.#isKnownConsecutive && step > 1;
      if (step <= 0 || isGap) {
        return false;
      }
      if (last !== undefined) {
        this.#steps += 1;
        this.#isConsecutive &&= step === 1;
      }
      last = id;
      isContinued = false;
    }
    this.#last = last;
    this.#isContinued = isContinued;
    return true;
  }

  get #isKnownConsecutive(): boolean {
    return this.#steps > 0 && this.#isConsecutive;
  }
}

function parse(id: string | undefined): number | undefined {
  return id !== undefined && NUMBER_PATTERN.test(id) ? Number(id) : undefined;
}
