import { z } from "zod";
import { settingsSchema } from "./settings_schema.ts";

interface SchemaNode {
  description?: string;
  type?: string;
  enum?: unknown[];
  properties?: Record<string, SchemaNode>;
  required?: string[];
}

/** Renders the settings reference page, in Markdown, from the schema. */
export function settingsReference(): string {
  const root = z.toJSONSchema(settingsSchema, {
    io: "input",
    unrepresentable: "any",
  }) as SchemaNode;
  const lines = [
    "# Settings",
    "",
    "Generated from the schema by `limpetshed reference settings`; a test checks that it is up to date.",
    "Durations (`250ms`, `30s`) and sizes (`64KiB`) need a unit.",
    "",
    "| key | type | required | description |",
    "| --- | --- | --- | --- |",
  ];
  addRows(lines, root, []);
  return lines.join("\n") + "\n";
}

function addRows(lines: string[], node: SchemaNode, path: string[]): void {
  for (const [key, child] of Object.entries(node.properties ?? {})) {
    const childPath = [...path, key];
    if (child.properties !== undefined) {
      addRows(lines, child, childPath);
      continue;
    }
    const type = child.enum === undefined
      ? child.type ?? "text"
      : child.enum.map((value) => `\`${String(value)}\``).join(", ");
    const required = node.required?.includes(key) === true ? "yes" : "no";
    lines.push(
      `| \`${childPath.join(".")}\` | ${type} | ${required} | ${
        child.description ?? ""
      } |`,
    );
  }
}
