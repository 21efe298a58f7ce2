import type { Revision } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";

/** Answer of a peer that was asked for its configuration. */
export interface PeerConfiguration {
    /** Undefined while the peer has no configuration. */
    readonly revision: Revision | undefined;
    /** Present only when newer than the revision known to the caller. */
    readonly document: ConfigurationDocument | undefined;
}
