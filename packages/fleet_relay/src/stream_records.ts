import type { Buffer } from "node:buffer";
import type { Clock } from "@limpetshed/base";
import {
  type PeerDirectory,
  StreamLog,
  type StreamLogOptions,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
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

/** Time after its start in which a node does not know its peers yet, so that all
 * nodes of a fleet that starts would write the same. */
const PEER_DISCOVERY_MS = 1_500;

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
    const startedMs = clock.monotonicMs();
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
      marks: () =>
        clock.monotonicMs() - startedMs >= PEER_DISCOVERY_MS &&
          writerIds()[0] === nodeId
          ? versions.inService()
          : [],
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
