import { runProgram } from "@ibislanding/runtime";
import { controlSettingsSchema } from "./settings/controlSettingsSchema";
import { startControl } from "./startControl";

void runProgram({
    name: "ibis-control",
    description: "Turns declared resources into placement, host starts and orders to engines.",
    settingsSchema: controlSettingsSchema,
    start: startControl,
});
