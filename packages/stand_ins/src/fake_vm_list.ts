import type { Clock } from "@limpetshed/base";
import { type VmChanges, VmList, type VmRecord } from "@limpetshed/vm_list";

interface VmChange {
  sequence: number;
  visibleAtMs: number;
  record: VmRecord;
}

/** A vm list whose changes show up late. */
export class FakeVmList extends VmList {
  /** Time from a change to its showing up, in milliseconds. */
  lagMs: number;
  /** Reads fail while true. */
  down = false;
  readonly #clock: Clock;
  readonly #log: VmChange[] = [];

  constructor({ clock, lagMs = 0 }: { clock: Clock; lagMs?: number }) {
    super();
    this.#clock = clock;
    this.lagMs = lagMs;
  }

  /** Adds a vm or changes its state; shows up after the lag. */
  set(record: VmRecord, { lagMs = this.lagMs }: { lagMs?: number } = {}): void {
    this.#log.push({
      sequence: this.#log.length + 1,
      visibleAtMs: this.#clock.monotonicMs() + lagMs,
      record: { ...record },
    });
  }

  changes(sequence: number): Promise<VmChanges> {
    if (this.down) {
      return Promise.reject(new Error("the vm list is down"));
    }
    const nowMs = this.#clock.monotonicMs();
    const hidden = this.#log.findIndex((entry) => entry.visibleAtMs > nowMs);
    const visible = hidden < 0 ? this.#log : this.#log.slice(0, hidden);
    const latest = new Map<string, VmRecord>();
    for (const entry of visible) {
      if (entry.sequence > sequence) {
        latest.set(entry.record.id, entry.record);
      }
    }
    return Promise.resolve({
      sequence: visible.length,
      whole: sequence === 0,
      records: [...latest.values()],
    });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
