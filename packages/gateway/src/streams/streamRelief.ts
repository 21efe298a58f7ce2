import type { ServiceName } from "@ibislanding/core";

/** Whether streams of this host have run out of time lately. */
export interface StreamRelief {
    /** A stream of the service has not ended after a large part of its time. */
    readonly recordSlow: (service: ServiceName) => void;
    /** Whether prompts of the service avoid the engines at which such streams go on. */
    readonly isActive: (service: ServiceName) => boolean;
}
