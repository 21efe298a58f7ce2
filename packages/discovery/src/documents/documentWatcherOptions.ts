import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueHistory } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";

/** What a follower reads and whom it tells. */
export interface DocumentWatcherOptions {
    readonly history: KeyValueHistory;
    readonly prefix: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Longest wait of one watch call; bounds the time for which a connection that fell silent goes unnoticed. */
    readonly watchWaitMs: () => number;
    /** Time after a change in which further ones are gathered before the next call. */
    readonly batchDelayMs: () => number;
    /** Called with each newer set; `source` says who delivered it. */
    readonly onChange: (set: DocumentSet, source: "store" | "peer") => void;
    /** Called when the store stops or starts answering. */
    readonly onReachabilityChange: (isReachable: boolean, reason: string) => void;
}
