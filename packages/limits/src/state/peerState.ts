import type { AccountId } from "@ibislanding/core";
import type { UsageReport } from "../model/usageReport";

/** Latest usage report of another entry host. */
export interface PeerState {
    readonly sequence: number;
    readonly receivedAtMs: number;
    readonly accounts: ReadonlyMap<AccountId, UsageReport["accounts"][number]>;
}
