import type { ConfigFinding, ConfigPath } from "./config_finding.ts";
import { findDuplicates } from "./find_duplicates.ts";
import type { Route, RoutingConfig } from "./routing_config.ts";

type RouteFinding = Omit<ConfigFinding, "path"> & { field: ConfigPath };

/** Finds routes that can never match or never be served, and settings of a route
 * that contradict each other. */
export function checkRoutes(
  { routes, services, accounts }: RoutingConfig,
): ConfigFinding[] {
  const serviceNames = new Set(services.map(({ name }) => name));
  const keyCount = accounts?.reduce((sum, { keys }) => sum + keys.length, 0);
  const findings = routes.flatMap((route, index) =>
    [
      ...checkMatching(route),
      ...checkTargets(route, serviceNames),
      ...checkTimes(route),
      ...checkResumption(route),
      ...(keyCount === 0 && !route.isPublic ? [NO_KEYS] : []),
    ].map(({ field, ...finding }) => ({
      ...finding,
      path: ["routes", index, ...field],
    }))
  );
  return [
    ...findDuplicates(
      routes.map(({ host, prefix }, index) => [
        `${host}${prefix}`,
        ["routes", index, "prefix"],
      ]),
      (place) => `another route has ${place} too; only the last one matches`,
    ),
    ...findDuplicates(
      routes.map(({ name }, index) => [name, ["routes", index, "name"]]),
      (name) => `another route is named ${name} too`,
    ),
    ...findings,
  ];
}

const NO_KEYS: RouteFinding = {
  severity: "error",
  field: ["isPublic"],
  message: "requests need an API key, and no client account has one",
};

/** Requests are matched by host without a port, and by the parts of their path
 * up to a slash. */
function checkMatching({ host, prefix }: Route): RouteFinding[] {
  const findings: RouteFinding[] = [];
  if (/:\d*$/.test(host) || /[\s/]/.test(host)) {
    findings.push({
      severity: "error",
      field: ["host"],
      message: `no request has the host ${host}: it is compared without a port`,
    });
  }
  if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
    findings.push({
      severity: "error",
      field: ["prefix"],
      message: `no path matches ${prefix}: it must start and end with a slash`,
    });
  } else if (/[?#\s]/.test(prefix)) {
    findings.push({
      severity: "error",
      field: ["prefix"],
      message: `no path matches ${prefix}: paths are compared without a query`,
    });
  }
  return findings;
}

function checkTargets(
  { targets }: Route,
  serviceNames: ReadonlySet<string>,
): RouteFinding[] {
  if (targets.every(({ weight }) => weight <= 0)) {
    return [{
      severity: "error",
      field: ["targets"],
      message: "no service has a weight above 0",
    }];
  }
  return targets.flatMap(({ service, weight }, index): RouteFinding[] => {
    const field = ["targets", index];
    if (!serviceNames.has(service)) {
      const message = `service ${service} is not defined`;
      return [{ severity: "error", field, message }];
    }
    return weight > 0 ? [] : [{
      severity: "warning",
      field,
      message: `service ${service} gets no requests: its weight is 0`,
    }];
  });
}

function checkTimes({ timeoutMs, targetLatencyMs }: Route): RouteFinding[] {
  return targetLatencyMs === undefined || targetLatencyMs <= timeoutMs ? [] : [{
    severity: "error",
    field: ["targetLatencyMs"],
    message:
      `the response should start within ${targetLatencyMs} ms, but requests end after ${timeoutMs} ms`,
  }];
}

function checkResumption({ kind, resumable }: Route): RouteFinding[] {
  return !resumable || kind === "stream" ? [] : [{
    severity: "warning",
    field: ["resumable"],
    message: "only streams are resumed",
  }];
}
