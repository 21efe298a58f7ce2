import { runProgram } from "@ibislanding/runtime";
import { entrySettingsSchema } from "./settings/entrySettingsSchema";
import { startEntry } from "./startEntry";

void runProgram({
    name: "ibis-entry",
    description: "Serves callers: models and plain services.",
    settingsSchema: entrySettingsSchema,
    start: startEntry,
});
