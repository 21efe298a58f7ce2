import type { Clock, Hasher, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ClaimWriter } from "../model/claimWriter";
import type { LedgerLimits } from "../model/ledgerLimits";
import type { EntryHosts } from "../peers/entryHosts";
import type { LedgerPeers } from "../peers/ledgerPeers";
import type { ClaimStrategy } from "./claimStrategy";
import type { LedgerTiming } from "./ledgerTiming";

/** Dependencies and configuration of an action ledger. */
export interface ActionLedgerOptions {
    readonly self: ClaimWriter;
    readonly store: KeyValueStore;
    readonly peers: LedgerPeers;
    readonly hosts: EntryHosts;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly hasher: Hasher;
    readonly limits: LedgerLimits;
    readonly timing: LedgerTiming;
    readonly strategy: ClaimStrategy;
    readonly onError: (error: unknown) => void;
}
