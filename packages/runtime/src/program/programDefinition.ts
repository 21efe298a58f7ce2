import type { z } from "zod";
import type { ProcessSettings } from "../settings/processSettings";
import type { ProgramContext } from "./programContext";
import type { RunningProgram } from "./runningProgram";

/** Definition of a program: name, settings schema and start function. */
export interface ProgramDefinition<Settings extends { readonly process: ProcessSettings; }> {
    readonly name: string;
    readonly description: string;
    readonly settingsSchema: z.ZodType<Settings>;
    readonly start: (context: ProgramContext<Settings>) => Promise<RunningProgram>;
}
