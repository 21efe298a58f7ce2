import type { ClaimWriter } from "../model/claimWriter";

/** Port to the membership: the entry hosts that are believed to be live. */
export interface EntryHosts {
    readonly liveEntryHosts: () => readonly ClaimWriter[];
}
