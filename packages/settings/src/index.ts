/** Reads and checks a node's TOML settings file. */
export { parseSettings, readSettings, readText } from "./read_settings.ts";
export { settingsReference } from "./settings_reference.ts";
export { type Settings, settingsSchema } from "./settings_schema.ts";
export { duration, size } from "./units.ts";
