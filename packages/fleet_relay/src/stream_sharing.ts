import type { Buffer } from "node:buffer";
import {
  type Clock,
  repeat,
  type RepeatingTask,
  type Timer,
} from "@limpetshed/base";
import type { StreamGroup } from "@limpetshed/dispatch";
import {
  decodeStoredMessage,
  decodeStreamMessage,
  encodeStoredMessage,
  encodeStreamMessage,
  type PeerDirectory,
  type StreamGroupEntry,
  type StreamLog,
  type StreamReport,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
import { type Recipients, ReportRecipients } from "./report_recipients.ts";

/** Options of {@linkcode StreamSharing}. */
export interface StreamSharingOptions {
  clock: Clock;
  logger: Logger;
  nodeId: string;
  node: Pick<RelayNode, "streamOrigins" | "serviceVersions">;
  directory: PeerDirectory;
  log: Pick<StreamLog, "add">;
  /** Ids of the nodes that may write this node's streams to the store, in order of
   * preference. */
  writerIds: () => readonly string[];
  /** Latest era of the store that this node knows of. */
  era: () => number;
  /** Sends datagrams to `ip:port`. */
  send: (address: string, datagrams: readonly Buffer[]) => void;
}

/** Time for which streams are gathered for one datagram. */
const GATHER_MS = 20;
/** Interval at which streams that have not reached the store are looked for. */
const RETRY_INTERVAL_MS = 200;
/** Bounds the datagrams that are sent at once. */
const MAX_STREAMS_PER_REPORT = 400;

/**
 * Reports where unfinished streams began to the node that writes it to the store,
 * while their service has several software versions. The writer acknowledges what
 * it has written; without an acknowledgment the report goes to another node. A
 * second node holds a copy meanwhile, since this one may end before.
 */
export class StreamSharing {
  readonly #options: StreamSharingOptions;
  readonly #recipients: ReportRecipients;
  readonly #mixedServices = new Set<string>();
  readonly #retries: RepeatingTask;
  #timer: Timer | undefined;

  constructor(options: StreamSharingOptions) {
    this.#options = options;
    const { clock, logger, node, nodeId, writerIds } = options;
    this.#recipients = new ReportRecipients({
      clock,
      nodeId,
      candidates: writerIds,
    });
    node.streamOrigins.onBegun(() => {
      this.#timer ??= clock.setTimer(GATHER_MS, () => this.#report());
    });
    this.#retries = repeat(clock, () => this.#report(), {
      intervalMs: RETRY_INTERVAL_MS,
      onError: (err) => logger.error({ event: "stream_report", err }),
    });
  }

  /** Handles a datagram; ignores one that is not about streams. */
  receive(data: Buffer): void {
    const stored = decodeStoredMessage(data);
    if (stored !== undefined) {
      this.#recipients.recordAnswer(stored.writer);
      this.#recordStored(stored);
      return;
    }
    const report = decodeStreamMessage(data);
    if (report !== undefined) {
      this.#options.log.add(report);
    }
  }

  /** Tells the node that relays the streams that this one has written them. */
  acknowledge(
    author: string,
    stored: { groups: StreamGroupEntry[]; era: number },
  ): void {
    const { nodeId, directory, send } = this.#options;
    if (author === nodeId) {
      this.#recipients.recordAnswer(nodeId);
      this.#recordStored(stored);
      return;
    }
    const address = directory.get(author)?.datagramAddress;
    if (address !== undefined) {
      send(address, encodeStoredMessage({ ...stored, writer: nodeId }));
    }
  }

  /** Stops reporting. */
  async close(): Promise<void> {
    this.#timer?.cancel();
    await this.#retries.close();
  }

  #report(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    const { node, nodeId } = this.#options;
    const mixed = new Map<string, boolean>();
    let recipients: Recipients | undefined;
    const groups = node.streamOrigins.takeReports({
      needsRecord: (service) => {
        const isMixed = mixed.get(service) ?? this.#isMixed(service);
        mixed.set(service, isMixed);
        return isMixed;
      },
      max: MAX_STREAMS_PER_REPORT,
      chooseRecipient: (silent) => {
        this.#recipients.recordSilence(silent);
        recipients = this.#recipients.choose();
        return recipients.writer;
      },
    }).map(toEntry);
    if (recipients === undefined) {
      return;
    }
    const { writer, copyHolder } = recipients;
    this.#send(writer, { groups, author: nodeId, isCopy: false });
    if (copyHolder !== undefined) {
      this.#send(copyHolder, { groups, author: nodeId, isCopy: true });
    }
  }

  #send(recipient: string, report: StreamReport): void {
    const { directory, log, send } = this.#options;
    const peer = directory.get(recipient);
    if (peer === undefined) {
      log.add(report);
    } else {
      send(peer.datagramAddress, encodeStreamMessage(report));
    }
  }

  /** What was written in an era that is over may be lost. */
  #recordStored(
    { groups, era }: { groups: StreamGroupEntry[]; era: number },
  ): void {
    const { node: { streamOrigins }, era: currentEra } = this.#options;
    if (era >= currentEra()) {
      for (const [service, version, streams] of groups) {
        streamOrigins.recordStored({ service, version, streams });
      }
    }
  }

  #isMixed(service: string): boolean {
    const { node: { serviceVersions }, logger } = this.#options;
    const isMixed = serviceVersions.isMixed(service);
    if (isMixed !== this.#mixedServices.has(service)) {
      if (isMixed) {
        this.#mixedServices.add(service);
      } else {
        this.#mixedServices.delete(service);
      }
      logger.info({
        event: "software_versions",
        outcome: isMixed ? "mixed" : "single",
        service,
        versions: [...serviceVersions.recent(service)],
      });
    }
    return isMixed;
  }
}

function toEntry({ service, version, streams }: StreamGroup): StreamGroupEntry {
  return [service, version, [...streams]];
}
