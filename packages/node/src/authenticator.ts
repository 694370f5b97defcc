import type { ConfigSnapshot, Member } from "@limpetshed/config";
import { RouterError } from "@limpetshed/errors";
import { sha256Hex } from "@limpetshed/hashing";
import { secretsEqual } from "@limpetshed/peer";

/** An authenticated caller. */
export interface Caller {
  /** Name of the member. */
  name: string;
  member: Member;
}

const MAX_KEY_CHARS = 256;
const DUMMY_DIGEST = "0".repeat(64);

/** Parses the key of an `authorization: Bearer KEY` header. */
export function parseBearerKey(header: string | undefined): string {
  const match = /^Bearer ([\x21-\x7e]+)$/i.exec(header ?? "");
  const key = match?.[1];
  if (key === undefined || key.length > MAX_KEY_CHARS) {
    throw unauthenticated();
  }
  return key;
}

/**
 * Authenticates a member by its key, `NAME.SECRET`. An unknown name is compared
 * with a dummy digest and fails with the same error as a wrong secret, so that
 * the response does not reveal which names exist.
 */
export function authenticateMember(
  config: ConfigSnapshot,
  header: string | undefined,
): Caller {
  const key = parseBearerKey(header);
  const name = key.split(".")[0] ?? "";
  const member = config.member(name);
  const digest = sha256Hex(key);
  const matches = (member?.keys ?? [DUMMY_DIGEST]).filter((storedDigest) =>
    secretsEqual(storedDigest, digest)
  );
  if (member === undefined || matches.length === 0) {
    throw unauthenticated();
  }
  return { name, member };
}

/** Throws `forbidden` unless the member may call the service. */
export function authorize({ member }: Caller, service: string): void {
  if (!member.services.includes(service)) {
    throw new RouterError(
      "forbidden",
      `this member may not call the service ${service.slice(0, 64)}`,
    );
  }
}

/** Operators and the digests of their keys. */
export class OperatorKeys {
  readonly #digests: ReadonlyMap<string, string>;

  /** `text`: lines of `NAME SHA256-OF-KEY`; `#` starts a comment. */
  constructor(text: string) {
    const digests = new Map<string, string>();
    for (const [index, line] of text.split("\n").entries()) {
      const [name, digest, ...rest] = line.replace(/#.*/, "").trim().split(
        /\s+/,
      );
      if (name === undefined || name === "") {
        continue;
      }
      if (
        digest === undefined || !/^[0-9a-f]{64}$/.test(digest) ||
        rest.length > 0
      ) {
        throw new RouterError(
          "settings_invalid",
          `operator keys: line ${index + 1}: expected NAME SHA256-OF-KEY`,
        );
      }
      digests.set(name, digest);
    }
    this.#digests = digests;
  }

  /** Authenticates an operator; returns its name. */
  authenticate(header: string | undefined): string {
    const digest = sha256Hex(parseBearerKey(header));
    let operator: string | undefined;
    for (const [name, storedDigest] of this.#digests) {
      if (secretsEqual(storedDigest, digest)) {
        operator = name;
      }
    }
    if (operator === undefined) {
      throw unauthenticated();
    }
    return operator;
  }
}

function unauthenticated(): RouterError {
  return new RouterError("unauthenticated", "no valid key was shown");
}
