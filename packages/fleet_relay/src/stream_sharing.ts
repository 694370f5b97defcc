import type { Buffer } from "node:buffer";
import {
  type Clock,
  repeat,
  type RepeatingTask,
  type Timer,
} from "@limpetshed/base";
import type { StreamGroup } from "@limpetshed/dispatch";
import {
  decodeStreamMessage,
  encodeStreamMessage,
  type PeerDirectory,
  type StreamGroupEntry,
  type StreamLog,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";

/** Options of {@linkcode StreamSharing}. */
export interface StreamSharingOptions {
  clock: Clock;
  logger: Logger;
  node: Pick<RelayNode, "streamOrigins" | "serviceVersions">;
  directory: PeerDirectory;
  log: StreamLog;
  /** Id of the node that writes this node's streams to the store. */
  writerId: () => string;
  /** Sends datagrams to `ip:port`. */
  send: (address: string, datagrams: readonly Buffer[]) => void;
}

/** Time for which streams are gathered for one datagram. */
const GATHER_MS = 20;
/** Interval at which streams that have not reached the store are looked for. */
const RETRY_INTERVAL_MS = 200;
/** Bounds the datagrams that are sent at once. */
const MAX_STREAMS_PER_REPORT = 400;

/** Reports where unfinished streams began to the node that writes it to the store,
 * while their service has several software versions. */
export class StreamSharing {
  readonly #options: StreamSharingOptions;
  readonly #mixedServices = new Set<string>();
  readonly #retries: RepeatingTask;
  #timer: Timer | undefined;

  constructor(options: StreamSharingOptions) {
    this.#options = options;
    const { clock, logger, node } = options;
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
    this.#options.log.add(decodeStreamMessage(data) ?? []);
  }

  /** Stops reporting. */
  async close(): Promise<void> {
    this.#timer?.cancel();
    await this.#retries.close();
  }

  #report(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    const { node, directory, log, writerId, send } = this.#options;
    const mixed = new Map<string, boolean>();
    const reports = node.streamOrigins.takeReports({
      needsRecord: (service) => {
        const isMixed = mixed.get(service) ?? this.#isMixed(service);
        mixed.set(service, isMixed);
        return isMixed;
      },
      max: MAX_STREAMS_PER_REPORT,
    }).map(toEntry);
    if (reports.length === 0) {
      return;
    }
    const writer = directory.get(writerId());
    if (writer === undefined) {
      log.add(reports);
    } else {
      send(writer.datagramAddress, encodeStreamMessage(reports));
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
