import type { z } from "zod";
import type { machineClassSpecSchema } from "./machineClassSpecSchema";

/** Spec of a `MachineClass`, with defaults filled in. */
export type MachineClassSpec = z.infer<typeof machineClassSpecSchema>;
