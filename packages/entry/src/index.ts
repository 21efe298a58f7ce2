// Program
export type { EntrySettings } from "./settings/entrySettings";
export { entrySettingsSchema } from "./settings/entrySettingsSchema";
export { startEntry } from "./startEntry";
