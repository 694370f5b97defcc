/** Any JSON value. */
export type Json =
  | null
  | boolean
  | number
  | string
  | Json[]
  | { [key: string]: Json };

const FORBIDDEN_KEYS = new Set(["__proto__", "constructor", "prototype"]);

/** Applies a JSON merge patch (RFC 7396); the inputs are left unchanged. */
export function mergePatch(target: Json | undefined, patch: Json): Json {
  if (!isObject(patch)) {
    return patch;
  }
  const merged: { [key: string]: Json } = isObject(target) ? { ...target } : {};
  for (const [key, value] of Object.entries(patch)) {
    if (FORBIDDEN_KEYS.has(key)) {
      continue;
    }
    if (value === null) {
      delete merged[key];
    } else {
      merged[key] = mergePatch(merged[key], value);
    }
  }
  return merged;
}

/** Whether a JSON value is an object. */
export function isObject(
  value: Json | undefined,
): value is { [key: string]: Json } {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
