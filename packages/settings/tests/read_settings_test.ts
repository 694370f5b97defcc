import { expect } from "chai";
import { describe, it } from "mocha";
import { RouterError } from "@limpetshed/errors";
import { parseSettings } from "../src/read_settings.ts";

const VALID_SETTINGS = `
[node]
id = "n1"
region = "r"
availability_zone = "z"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
[platform]
store = "http://127.0.0.1:2379"
vm_list = "http://127.0.0.1:2380"
[secrets]
peer_key_file = "peer.key"
operator_keys_file = "operators.txt"
`;

function parseFaults(text: string): readonly string[] {
  try {
    parseSettings(text);
    return [];
  } catch (err) {
    return err instanceof RouterError ? err.faults : ["crash"];
  }
}

describe("parseSettings", () => {
  it("converts defaults to milliseconds and bytes", () => {
    const { limits, routing } = parseSettings(VALID_SETTINGS);
    expect(limits.request_timeout).to.equal(120_000);
    expect(limits.max_body).to.equal(4 * 1_048_576);
    expect(routing.policy).to.equal("owner");
  });

  const cases: [string, string, string][] = [
    [
      "an unknown key",
      VALID_SETTINGS + "[limits]\nmax_boddy = '1MiB'\n",
      "limits.max_boddy: unknown key",
    ],
    [
      "a missing unit",
      VALID_SETTINGS + "[limits]\nqueue_timeout = 5\n",
      "limits.queue_timeout: expected a duration",
    ],
    [
      "a wrong unit",
      VALID_SETTINGS + "[limits]\nqueue_timeout = '5 parsecs'\n",
      "limits.queue_timeout: expected a duration",
    ],
    [
      "a host name",
      VALID_SETTINGS.replace("127.0.0.1:8080", "host:8080"),
      "listen.callers: expected an IP address",
    ],
    [
      "a missing address",
      VALID_SETTINGS.replace(/peers = .*\n/, ""),
      "listen.peers",
    ],
    [
      "a wrong policy",
      VALID_SETTINGS + "[routing]\npolicy = 'best'\n",
      "routing.policy",
    ],
    ["broken TOML", VALID_SETTINGS + "[limits\n", "not valid TOML"],
  ];
  for (const [name, text, expected] of cases) {
    it(`rejects ${name} and names it`, () => {
      expect(parseFaults(text).join("\n")).to.contain(expected);
    });
  }

  it("reports all errors at once", () => {
    const text = VALID_SETTINGS.replace(/id = .*\n/, "") +
      "[limits]\nmax_body = 1\nextra = 2\n";
    expect(parseFaults(text)).to.have.length(3);
  });
});
