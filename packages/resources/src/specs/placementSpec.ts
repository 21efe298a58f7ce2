import type { z } from "zod";
import type { placementSpecSchema } from "./placementSpecSchema";

/** Spec of a `Placement`, with defaults filled in. */
export type PlacementSpec = z.infer<typeof placementSpecSchema>;
