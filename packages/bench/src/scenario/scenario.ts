import type { z } from "zod";
import type { scenarioSchema } from "./scenarioSchema";

/** One load with the system that takes it. */
export type Scenario = z.infer<typeof scenarioSchema>;
