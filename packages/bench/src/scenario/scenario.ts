import type { z } from "zod";
import type { scenarioSchema } from "./scenarioSchema";

/** Workload, and the simulated system that serves it. */
export type Scenario = z.infer<typeof scenarioSchema>;
