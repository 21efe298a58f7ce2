import type { AccountId, HostId } from "@ibislanding/core";
import type { LimitsOptions } from "../model/limitsOptions";
import type { AccountState } from "./accountState";
import type { PeerState } from "./peerState";

/** Limits as one entry host knows them; changed only by the commands. */
export interface LimitsState {
    readonly hostId: HostId;
    readonly options: LimitsOptions;
    readonly accounts: Map<AccountId, AccountState>;
    /** The other entry hosts; undefined until one has reported. */
    readonly peers: Map<HostId, PeerState | undefined>;
    /** Retries that may still be made, by service. */
    readonly retryBalances: Map<string, number>;
    inFlight: number;
    reportSequence: number;
}
