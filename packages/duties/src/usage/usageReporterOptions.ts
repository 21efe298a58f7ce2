import type { Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { DutyApi } from "../dutyApi";
import type { UsageCounts } from "./usageCounts";

/** Dependencies, timing and callbacks of the usage reporter. */
export interface UsageReporterOptions {
    readonly store: KeyValueStore;
    /** Prefix of the keys under which reports are stored. */
    readonly keyPrefix: string;
    readonly api: DutyApi;
    readonly counts: UsageCounts;
    readonly windowMs: number;
    /** Deadline for the report of a window, counted from the end of the window. */
    readonly dueMs: number;
    readonly nowMs: () => number;
    /** Whether every live peer has reported since the given cluster time. */
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
    readonly onReported: (window: number, requests: number, ageMs: number) => void;
    readonly onFailure: (window: number, step: "store" | "send", failure: Failure) => void;
}
