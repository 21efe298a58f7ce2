import type { ConfigurationChange } from "@ibislanding/resources";

/** What an operation did to one resource. */
export type ResourceChange = ConfigurationChange["resources"][number];
