import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueHistory, StoreEpoch } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";

/** Source, timing and callbacks of a document watcher. */
export interface DocumentWatcherOptions {
    readonly history: KeyValueHistory;
    /** A rise of the epoch ends the watch in progress, and the set is read again. */
    readonly storeEpoch: StoreEpoch;
    readonly prefix: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Maximum wait of one watch call; bounds the time until a dead connection is detected. */
    readonly watchWaitMs: () => number;
    /** Time within which the store must answer a refresh. */
    readonly refreshTimeoutMs: () => number;
    /** Whether a peer currently tells this host of newer sets; watches of the store pause meanwhile. */
    readonly isRelayed: () => boolean;
    /** Delay after a change before the next call, so that further changes arrive in one batch. */
    readonly batchDelayMs: () => number;
    /** Called with each newer set; `source` is the store or a peer, whichever delivered it. */
    readonly onChange: (set: DocumentSet, source: "store" | "peer") => void;
    /** Called when the store has answered that the current set was its newest one at most the given time ago. */
    readonly onConfirmed?: ((agoMs: number) => void) | undefined;
    /** Called with what `onChange` threw. */
    readonly onChangeFailed: (error: unknown) => void;
    /** Called when the store becomes unreachable or reachable again. */
    readonly onReachabilityChange: (isReachable: boolean, reason: string) => void;
}
