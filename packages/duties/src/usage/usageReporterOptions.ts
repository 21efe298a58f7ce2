import type { Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { DutyApi } from "../dutyApi";
import type { UsageCounts } from "./usageCounts";

/** What the reporter reads, stores and calls. */
export interface UsageReporterOptions {
    readonly store: KeyValueStore;
    /** Prefix of the keys under which reports are stored. */
    readonly keyPrefix: string;
    readonly api: DutyApi;
    readonly counts: UsageCounts;
    readonly windowMs: number;
    /** Time after the end of a window within which its report is due. */
    readonly dueMs: number;
    readonly nowMs: () => number;
    /** Whether every live peer has reported since the given true time. */
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
    readonly onReported: (window: number, requests: number, ageMs: number) => void;
    readonly onFailure: (window: number, step: "store" | "send", failure: Failure) => void;
}
