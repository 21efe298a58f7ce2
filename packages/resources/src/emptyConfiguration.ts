import type { Revision } from "@ibislanding/core";
import type { ConfigurationDocument } from "./configurationDocument";

/** The configuration before the first change, with revision 0. */
export const emptyConfiguration: ConfigurationDocument = { revision: 0 as Revision, resources: [], recentChanges: [] };
