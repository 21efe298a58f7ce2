import type { z } from "zod";
import type { placementSpecSchema } from "./placementSpecSchema";

/** Placement of a service. */
export type PlacementSpec = z.infer<typeof placementSpecSchema>;
