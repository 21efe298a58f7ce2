import type { DocumentPosition } from "@ibislanding/discovery";
import type { HostReport } from "./hostReport";

/** How old each set of documents is that must be up to date within a time. */
export interface DocumentAges {
    /** Time since a set was known to be the newest: it has all changes before that. */
    readonly ageMs: (set: string) => number;
    /** The same, but Infinity if a newer set is known to exist. */
    readonly newestAgeMs: (set: string) => number;
    /** Ages of all sets; Infinity for one that was never confirmed. */
    readonly all: () => ReadonlyMap<string, number>;
    /** Records that the own set was the newest one of the store the given time ago. */
    readonly confirm: (set: string, agoMs: number) => void;
    /** Records of which sets a peer has newer ones. */
    readonly supersede: (sets: readonly string[]) => void;
    /** Applies the ages that a peer reported at most the given time ago; it has newer ones of the given sets. */
    readonly observePeer: (
        report: Pick<HostReport, "positions" | "ages">,
        reportedMsAgo: number,
        newerSets: readonly string[],
    ) => void;
    /** Applies what peers reported of a newer set, now that the own one is at least at the given position. */
    readonly reach: (set: string, position: DocumentPosition) => void;
}
