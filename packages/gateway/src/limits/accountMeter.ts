import type { AccountId, HostId } from "@ibislanding/core";
import type { ClientAccount } from "../configuration/clientAccount";
import type { AccountAdmission } from "./accountAdmission";
import type { AccountUsage } from "./accountUsage";

/** Rate limits of client accounts, enforced across all hosts on the basis of their reports. */
export interface AccountMeter {
    /** Decides whether a request may run and, if so, deducts its units from the account. */
    readonly admit: (account: ClientAccount, units: number) => AccountAdmission;
    /** Refunds the units of a request that reached no upstream. */
    readonly refund: (accountId: AccountId, units: number, admission: AccountAdmission) => void;
    /** Units that this host has admitted for each account, as reported to its peers. */
    readonly usages: () => ReadonlyMap<AccountId, AccountUsage>;
    /**
     * Applies the usage reported by a process; `hostName` stays the same across restarts of the process on a host. The
     * report contains the state of the given number of hosts, as of the given time ago.
     */
    readonly observePeer: (
        hostName: string,
        hostId: HostId,
        usages: ReadonlyMap<AccountId, AccountUsage>,
        hostCount?: number,
        ageMs?: number,
    ) => void;
}
