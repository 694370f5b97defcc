import { readTextFile, type Settings } from "@limpetshed/settings";
import type { PeerCredentials } from "@limpetshed/peer";
import { OperatorKeys } from "./authenticator.ts";
import type { ServerTls } from "./http_listener.ts";

/** Loads and reloads keys and certificates from the files in the settings. */
export class SecretFiles {
  readonly #settings: Settings;
  #peer: PeerCredentials;
  #operators: OperatorKeys;
  #callersTls: ServerTls | undefined;
  #loadedTexts = "";

  constructor(settings: Settings) {
    this.#settings = settings;
    this.#peer = { key: "" };
    this.#operators = new OperatorKeys("");
    this.reload();
  }

  /** Credentials for connections between nodes. */
  get peer(): PeerCredentials {
    return this.#peer;
  }

  /** Keys that authenticate operators. */
  get operators(): OperatorKeys {
    return this.#operators;
  }

  /** Certificate of the callers' listener; undefined without TLS. */
  get callersTls(): ServerTls | undefined {
    return this.#callersTls;
  }

  /**
   * Reads all files again; returns whether anything changed. If a file cannot
   * be read, the previous values stay in use.
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
    if (texts === this.#loadedTexts) {
      return false;
    }
    this.#operators = new OperatorKeys(operators);
    this.#peer = { key: peerKey, ...(peersTls && { tls: peersTls }) };
    this.#callersTls = callersTls;
    this.#loadedTexts = texts;
    return true;
  }
}
