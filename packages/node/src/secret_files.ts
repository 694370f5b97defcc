import { readTextFile, type Settings } from "@limpetshed/settings";
import type { PeerCredentials } from "@limpetshed/peer";
import { OperatorKeys } from "./authenticator.ts";
import type { ServerTls } from "./http_listener.ts";

/** Keys and certificates, read from the files that the settings name. */
export class SecretFiles {
  readonly #settings: Settings;
  #peer: PeerCredentials;
  #operators: OperatorKeys;
  #callersTls: ServerTls | undefined;
  #texts = "";

  constructor(settings: Settings) {
    this.#settings = settings;
    this.#peer = { key: "" };
    this.#operators = new OperatorKeys("");
    this.reload();
  }

  /** What nodes show each other. */
  get peer(): PeerCredentials {
    return this.#peer;
  }

  /** The operators' keys. */
  get operators(): OperatorKeys {
    return this.#operators;
  }

  /** Certificate towards callers. */
  get callersTls(): ServerTls | undefined {
    return this.#callersTls;
  }

  /**
   * Reads all files again; returns whether anything changed. A file that
   * cannot be read leaves everything as it was.
   *
   * @throws RouterError `settings_invalid`.
   */
  reload(): boolean {
    const { secrets, tls } = this.#settings;
    const peerKey = readTextFile(secrets.peer_key_file, "peer key").trim();
    const operators = readTextFile(secrets.operator_keys_file, "operator keys");
    const callersTls = tls.callers === undefined ? undefined : {
      cert: readTextFile(tls.callers.cert_file, "certificate"),
      key: readTextFile(tls.callers.key_file, "private key"),
    };
    const peersTls = tls.peers === undefined ? undefined : {
      cert: readTextFile(tls.peers.cert_file, "certificate"),
      key: readTextFile(tls.peers.key_file, "private key"),
      ca: readTextFile(tls.peers.ca_file, "authority"),
    };
    const texts = JSON.stringify([peerKey, operators, callersTls, peersTls]);
    if (texts === this.#texts) {
      return false;
    }
    this.#operators = new OperatorKeys(operators);
    this.#peer = { key: peerKey, ...(peersTls && { tls: peersTls }) };
    this.#callersTls = callersTls;
    this.#texts = texts;
    return true;
  }
}
