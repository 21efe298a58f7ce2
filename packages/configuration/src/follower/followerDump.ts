import type { Revision } from "@ibislanding/core";

/** State of a configuration follower for diagnosis. */
export interface FollowerDump {
    readonly revision: Revision | undefined;
    readonly storeVersion: number;
    readonly storeReachable: boolean;
    /** Monotonic time since the last newer document, undefined before the first. */
    readonly sinceAdvanceMs: number | undefined;
    readonly advancedBy: Readonly<Record<string, number>>;
}
