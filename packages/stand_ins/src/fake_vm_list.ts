import type { Clock } from "@limpetshed/base";
import { type VmChanges, VmList, type VmRecord } from "@limpetshed/vm_list";

interface VmChange {
  sequence: number;
  visibleAtMs: number;
  record: VmRecord;
}

/** In-memory vm list whose changes become visible after a lag. */
export class FakeVmList extends VmList {
  /** Default delay until a change becomes visible, in milliseconds. */
  lagMs: number;
  /** All reads fail while true. */
  down = false;
  readonly #clock: Clock;
  readonly #log: VmChange[] = [];

  constructor({ clock, lagMs = 0 }: { clock: Clock; lagMs?: number }) {
    super();
    this.#clock = clock;
    this.lagMs = lagMs;
  }

  /** Adds or updates a vm; the change becomes visible after the lag. */
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
    const firstHidden = this.#log.findIndex((entry) =>
      entry.visibleAtMs > nowMs
    );
    const visible = firstHidden < 0
      ? this.#log
      : this.#log.slice(0, firstHidden);
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
