import type { Revision } from "@ibislanding/core";

/** Diagnostic state of a configuration follower, as printed in state dumps. */
export interface FollowerDump {
    readonly revision: Revision | undefined;
    readonly storeVersion: number;
    readonly storeReachable: boolean;
    /** Monotonic time since the document last changed; `undefined` before the first document. */
    readonly sinceAdvanceMs: number | undefined;
    readonly advancedBy: Readonly<Record<string, number>>;
}
