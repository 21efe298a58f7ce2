import type { Revision } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";

/** Returns whether the recent changes of a document include every change after the given revision. */
export const coversChangesSince = (document: ConfigurationDocument, revision: Revision): boolean => {
    const oldestKept = document.recentChanges[0]?.revision ?? document.revision + 1;
    return oldestKept <= revision + 1;
};
