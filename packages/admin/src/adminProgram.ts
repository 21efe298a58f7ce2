import type { ProgramDefinition } from "@ibislanding/runtime";
import type { AdminSettings } from "./settings/adminSettings";
import { adminSettingsSchema } from "./settings/adminSettingsSchema";
import { startAdmin } from "./startAdmin";

/** Definition of the `ibis-admin` program for `runProgram`. */
export const adminProgram: ProgramDefinition<AdminSettings> = {
    name: "ibis-admin",
    description: "Serves the administration API to operators.",
    settingsSchema: adminSettingsSchema,
    start: startAdmin,
};
