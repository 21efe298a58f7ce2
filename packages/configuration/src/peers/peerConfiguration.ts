import type { Revision } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";

/** A peer's response to a fetch of its configuration. */
export interface PeerConfiguration {
    /** `undefined` while the peer has no configuration. */
    readonly revision: Revision | undefined;
    /** Set only when it is newer than the revision known to the caller. */
    readonly document: ConfigurationDocument | undefined;
}
