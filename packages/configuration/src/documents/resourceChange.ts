import type { ConfigurationChange } from "@ibislanding/resources";

/** Record of the change that an operation made to one resource. */
export type ResourceChange = ConfigurationChange["resources"][number];
