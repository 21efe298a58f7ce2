import type { SoftwareVersion } from "@ibislanding/core";
import type { StreamOrigin } from "./streamOrigin";

/** What this host and others know of a stream. */
export interface StreamKnowledge {
    readonly origin: StreamOrigin | undefined;
    /**
     * Time for which all hosts that were asked have been running; 0 if none answered. A stream that began within it while
     * several versions were registered would be known.
     */
    readonly recordedForMs: number;
    /** Time for which this host has been running. */
    readonly uptimeMs: number;
    /**
     * Whether this host, or one that was asked, knows all versions with which a stream that is still under way can have
     * begun, because it has been running for that long or has read the versions of the time before its start.
     */
    readonly areVersionsComplete: boolean;
    /**
     * Whether no version can have been registered that neither this host nor one that answered knows. A host that stood still,
     * or was cut off from the others, knows what there was before.
     */
    readonly areVersionsCurrent: boolean;
    /** Versions of the service that were registered a short time ago, as the other hosts know. */
    readonly peerVersions: readonly SoftwareVersion[];
}
