import type { Buffer } from "node:buffer";
import type { Clock } from "@limpetshed/base";
import {
  type PeerDirectory,
  StreamLog,
  type StreamLogOptions,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
import { MarkDuty } from "./mark_duty.ts";
import { StreamSharing } from "./stream_sharing.ts";

/** Options of {@linkcode StreamRecords}. */
export interface StreamRecordsOptions {
  clock: Clock;
  logger: Logger;
  /** Where the store keeps them. */
  store: Pick<StreamLogOptions, "store" | "batchPrefix" | "markKey">;
  nodeId: string;
  node: RelayNode;
  directory: PeerDirectory;
  /** Ids of the nodes that write to the store for the fleet, in order of
   * preference. */
  writerIds: () => readonly string[];
  /** Latest era of the store that this node knows of. */
  era: () => number;
  /** Sends datagrams to `ip:port`. */
  send: (address: string, datagrams: readonly Buffer[]) => void;
}

/** Brings to the store where the streams of a node began, and the versions in
 * service. */
export class StreamRecords {
  readonly sharing: StreamSharing;
  readonly #log: StreamLog;

  constructor(
    { clock, logger, store, nodeId, node, directory, writerIds, era, send }:
      StreamRecordsOptions,
  ) {
    const versions = node.serviceVersions;
    const markDuty = new MarkDuty({ clock, nodeId, versions, writerIds });
    this.#log = new StreamLog({
      clock,
      logger,
      ...store,
      era,
      isStored: (stream, { service, version }) => {
        const origin = node.streamOrigins.find(stream);
        return origin?.service === service && origin.version === version;
      },
      onStored: (author, stored) => this.sharing.acknowledge(author, stored),
      nodeId,
      marks: () => markDuty.due(),
      markKeeper: (mark) => versions.findMark(mark)?.keeper,
    });
    this.sharing = new StreamSharing({
      clock,
      logger,
      nodeId,
      node,
      directory,
      log: this.#log,
      writerIds,
      era,
      send,
    });
  }

  /** Stops reporting and writing. */
  async close(): Promise<void> {
    await Promise.all([this.sharing.close(), this.#log.close()]);
  }
}
