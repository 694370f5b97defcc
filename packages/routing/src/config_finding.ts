/** Where a finding is in a {@linkcode RoutingConfig}: names of fields and
 * indexes. */
export type ConfigPath = readonly (string | number)[];

/** Something in a configuration that its author did not intend. */
export interface ConfigFinding {
  /** `error` if requests are refused or go elsewhere than the configuration says;
   * `warning` if a part of it has no effect. */
  severity: "error" | "warning";
  path: ConfigPath;
  /** What is wrong and what follows from it. */
  message: string;
}
