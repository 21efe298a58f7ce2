import type { AccountId, HostId } from "@ibislanding/core";
import type { LimitsOptions } from "../model/limitsOptions";
import type { AccountState } from "./accountState";
import type { PeerState } from "./peerState";

/** State of the limits on one entry host; mutated only by the functions in `commands`. */
export interface LimitsState {
    readonly hostId: HostId;
    readonly options: LimitsOptions;
    readonly accounts: Map<AccountId, AccountState>;
    /** The other entry hosts; a value is undefined until the first report of that host. */
    readonly peers: Map<HostId, PeerState | undefined>;
    /** Remaining retry budget by service; negative while overdrawn by moved streams. */
    readonly retryBalances: Map<string, number>;
    inFlight: number;
    reportSequence: number;
}
