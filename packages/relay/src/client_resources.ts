import type { Clock } from "@limpetshed/base";
import { BlockPool } from "./block_pool.ts";
import { ConnectionLimiter } from "./connection_limiter.ts";
import { MemoryBudget } from "./memory_budget.ts";
import { ReadCollector } from "./read_collector.ts";
import { SmallChunkLimiter } from "./small_chunk_limiter.ts";

/** What the machine of a node has. */
export interface MachineLimits {
  /** Memory, bytes. */
  memoryBytes: number;
  /** File descriptors. */
  fileDescriptors: number;
}

/** Limits of a machine that does not state them. */
export const DEFAULT_MACHINE_LIMITS: MachineLimits = {
  memoryBytes: 512_000_000,
  fileDescriptors: 8_192,
};

/** Memory of the program and its state, without what it holds for clients. */
const PROGRAM_BYTES = 100_000_000;
/** Part of the rest that is charged for; what is no longer referenced, the buffers
 * of the system and copies on their way take the other part. */
const CHARGED_FRACTION = 0.25;
/** Left to small machines. */
const MIN_CHARGED_BYTES = 8_388_608;
/** Descriptors for files. */
const RESERVED_DESCRIPTORS = 200;
/** Part of the sockets that clients may have; endpoints, other nodes and the store
 * have the others. */
const CLIENT_SOCKET_FRACTION = 0.75;
const MIN_CLIENT_SOCKETS = 16;

/** What a node may spend on its clients, derived from its machine. */
export class ClientResources {
  readonly memory: MemoryBudget;
  readonly blocks: BlockPool;
  readonly reads = new ReadCollector();
  readonly smallChunks: SmallChunkLimiter;
  readonly connections: ConnectionLimiter;

  constructor({ clock, machine }: { clock: Clock; machine: MachineLimits }) {
    this.memory = new MemoryBudget({
      clock,
      capacityBytes: Math.max(
        MIN_CHARGED_BYTES,
        (machine.memoryBytes - PROGRAM_BYTES) * CHARGED_FRACTION,
      ),
    });
    this.blocks = new BlockPool({ maxBytes: this.memory.capacityBytes });
    this.smallChunks = new SmallChunkLimiter({ clock });
    this.connections = new ConnectionLimiter({
      maxConnections: Math.max(
        MIN_CLIENT_SOCKETS,
        Math.floor(
          (machine.fileDescriptors - RESERVED_DESCRIPTORS) *
            CLIENT_SOCKET_FRACTION,
        ),
      ),
    });
  }
}
