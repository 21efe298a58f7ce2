import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { VersionRule } from "./versionRule";
import type { VersionRun } from "./versionRun";
import type { VersionRunStart } from "./versionRunStart";

/** Decides at which software versions requests may run, and counts what becomes of them. */
export interface VersionPolicy {
    /**
     * Returns where the next attempt at a request may be placed, the most preferred rule first; empty if it must not run.
     * `softwareVersion` is that of a stream that goes on, `isFirst` is false for further attempts.
     */
    readonly rulesFor: (
        service: ServiceName,
        request: { readonly softwareVersion: SoftwareVersion | undefined; readonly isFirst: boolean; },
    ) => readonly VersionRule[];
    /** Counts a send to an upstream. */
    readonly trackRun: (start: VersionRunStart) => VersionRun;
}
