import { checkAccounts } from "./check_accounts.ts";
import { checkRoutes } from "./check_routes.ts";
import type { ConfigFinding } from "./config_finding.ts";
import { findDuplicates } from "./find_duplicates.ts";
import type { RequestLimits, RoutingConfig } from "./routing_config.ts";

/** Options of {@linkcode checkConfig}. */
export interface CheckConfigOptions {
  /** The largest head of a request that a node can parse, bytes. */
  maxParsedHeaderBytes: number;
}

/** Finds entries of a configuration that can never match and limits that
 * contradict each other. */
export function checkConfig(
  config: RoutingConfig,
  { maxParsedHeaderBytes }: CheckConfigOptions,
): ConfigFinding[] {
  return [
    ...checkRoutes(config),
    ...checkServices(config),
    ...checkAccounts(config),
    ...checkLimits(config.limits, maxParsedHeaderBytes),
  ];
}

function checkServices({ routes, services }: RoutingConfig): ConfigFinding[] {
  const reached = new Set(
    routes.flatMap(({ targets }) =>
      targets.filter(({ weight }) => weight > 0).map(({ service }) => service)
    ),
  );
  const unreached = services.flatMap(({ name }, index): ConfigFinding[] =>
    reached.has(name) ? [] : [{
      severity: "warning",
      path: ["services", index],
      message: `no route leads to service ${name}`,
    }]
  );
  return [
    ...findDuplicates(
      services.map(({ name }, index) => [name, ["services", index, "name"]]),
      (name) => `service ${name} is defined twice; the last one counts`,
    ),
    ...unreached,
  ];
}

function checkLimits(
  limits: RequestLimits,
  maxParsedHeaderBytes: number,
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (limits.maxHeaderBytes > maxParsedHeaderBytes) {
    findings.push({
      severity: "error",
      path: ["limits", "maxHeaderBytes"],
      message:
        `nodes reject headers of more than ${maxParsedHeaderBytes} bytes before this limit applies`,
    });
  }
  if (limits.headerTimeoutMs > limits.idleTimeoutMs) {
    findings.push({
      severity: "warning",
      path: ["limits", "headerTimeoutMs"],
      message:
        "the time for the headers is longer than a connection may be idle",
    });
  }
  return findings;
}
