import type { ClaimWriter } from "../model/claimWriter";

/** Port to the cluster membership, which lists the entry hosts considered live. */
export interface EntryHosts {
    readonly liveEntryHosts: () => readonly ClaimWriter[];
}
