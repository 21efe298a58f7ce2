import type { Failure } from "@ibislanding/core";
import type { KeyValueStore, StoreEpoch } from "@ibislanding/platform";
import type { DutyApi } from "../dutyApi";
import type { UsageCounts } from "./usageCounts";
import type { UsageRecords } from "./usageRecords";

/** Dependencies, timing and callbacks of the usage reporter. */
export interface UsageReporterOptions {
    readonly store: KeyValueStore;
    readonly storeEpoch: StoreEpoch;
    /** Prefix of the keys under which reports are stored. */
    readonly keyPrefix: string;
    readonly api: DutyApi;
    readonly counts: UsageCounts;
    /** Counts stored by this host and its peers. */
    readonly records: UsageRecords;
    readonly windowMs: number;
    /** Deadline for the report of a window, counted from the end of the window. */
    readonly dueMs: number;
    readonly nowMs: () => number;
    /** Whether every live peer has reported since the given cluster time. */
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
    readonly onReported: (window: number, requests: number, ageMs: number) => void;
    /** Called when a window is left out because other counts of it may have been sent. */
    readonly onOmitted: (window: number) => void;
    readonly onFailure: (window: number, step: "store" | "send", failure: Failure) => void;
}
