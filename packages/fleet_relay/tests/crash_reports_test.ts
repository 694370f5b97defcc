import type { CrashReport } from "@limpetshed/dispatch";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  decodeCrashReports,
  encodeCrashReports,
} from "../src/crash_reports.ts";

describe("crash reports", () => {
  it("survive an encoding round trip", () => {
    const crash = {
      kind: "crash" as const,
      trait: "chat/5c1e07a2",
      endpoint: "e1/1700000000000",
      sentAgeMs: 850,
      crashAgeMs: 120,
    };
    const reports: CrashReport[] = [
      { ...crash, isTrial: false },
      { ...crash, isTrial: true },
      { kind: "cleared", trait: "chat/5c1e07a2", endpoint: "e1/1" },
    ];
    expect(decodeCrashReports(encodeCrashReports(reports))).to.deep.equal(
      reports,
    );
  });

  it("of earlier releases have no ages", () => {
    expect(decodeCrashReports(["0123456789abcdef", "e1/17"])).to.deep.equal([{
      kind: "crash",
      trait: "0123456789abcdef",
      endpoint: "e1/17",
      sentAgeMs: 0,
      crashAgeMs: 0,
      isTrial: false,
    }]);
  });

  it("are decoded from arbitrary text", () => {
    const [report] = decodeCrashReports(["x", "e~-5~1e9~9", "unpaired"]);
    expect(report).to.deep.include({ sentAgeMs: 0, crashAgeMs: 0 });
  });
});
