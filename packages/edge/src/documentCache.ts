import type { DocumentSet } from "@ibislanding/discovery";
import type { CompiledConfiguration } from "@ibislanding/gateway";
import type { HostReport } from "./hostReport";

/** The latest documents that a host has received from the store or its peers. */
export interface DocumentCache extends AsyncDisposable {
    readonly configuration: () => CompiledConfiguration | undefined;
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Whether all watches reach the store. */
    readonly isStoreReachable: () => boolean;
    /** Position of each set, by name; 0 before the first snapshot. That of the configuration is its own version. */
    readonly positions: () => HostReport["positions"];
    /** Takes over the positions of a peer's sets that are the same as the own ones. */
    readonly observePositions: (positions: HostReport["positions"]) => void;
    /** Names of the sets of which the given positions are newer. */
    readonly staleSets: (positions: HostReport["positions"]) => readonly string[];
    /** Time allowed for the store to deliver a newer version of a set before it is fetched from a peer. */
    readonly fetchDelayMs: (set: string) => number;
    /** Asks the store whether there is a newer set, unless such a call is in progress. */
    readonly refresh: (set: string) => void;
    readonly offer: (set: string, documents: DocumentSet) => void;
}
