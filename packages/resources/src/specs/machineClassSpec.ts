import type { z } from "zod";
import type { machineClassSpecSchema } from "./machineClassSpecSchema";

/** Capacity and price of a class of upstream hosts. */
export type MachineClassSpec = z.infer<typeof machineClassSpecSchema>;
