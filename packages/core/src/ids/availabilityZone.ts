import type { Brand } from "../brand";

/** Name of an availability zone, unique across all regions. */
export type AvailabilityZone = Brand<string, "AvailabilityZone">;
