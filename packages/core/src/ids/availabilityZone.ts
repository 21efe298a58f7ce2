import type { Brand } from "../brand";

/** Name of an availability zone, unique over all regions. */
export type AvailabilityZone = Brand<string, "AvailabilityZone">;
