import type { AccountId, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountAdmission } from "./accountAdmission";
import type { AccountUsage } from "./accountUsage";

/** Rates of client accounts, kept over all hosts from what they report. */
export interface AccountMeter {
    /** Takes the units of a request from the account if it may run. */
    readonly admit: (account: ClientAccount, units: number) => AccountAdmission;
    /** Gives the units of a request back that reached no upstream. */
    readonly refund: (accountId: AccountId, units: number, admission: AccountAdmission) => void;
    /** What this host admitted, for its peers. */
    readonly usages: () => ReadonlyMap<AccountId, AccountUsage>;
    /** Takes what a process admitted; `hostName` is the same for the processes that follow each other on a host. */
    readonly observePeer: (
        hostName: string,
        hostId: HostId,
        usages: ReadonlyMap<AccountId, AccountUsage>,
    ) => void;
}
