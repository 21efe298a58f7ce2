import type { SoftwareVersion } from "@ibislanding/core";

/** A version of a service's software that is registered, or was a short time ago. */
export interface RegisteredVersion {
    readonly softwareVersion: SoftwareVersion;
    /** Time since this host first saw it; Infinity if it was there when the host saw the service first. */
    readonly knownForMs: number;
}
