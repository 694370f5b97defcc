/** Reads and validates a node's TOML settings file. */
export { parseSettings, readSettings, readTextFile } from "./read_settings.ts";
export { settingsReference } from "./settings_reference.ts";
export { type Settings, settingsSchema } from "./settings_schema.ts";
export { durationSchema, sizeSchema } from "./value_schemas.ts";
