import type { AccountId, HostId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";
import { requestsPerSecond } from "./requestsPerSecond";

/** Returns the local account shares and retry budgets for the state dump of the process. */
export const describeLimits = (
    state: LimitsState,
    nowMs: number,
): {
    readonly hostId: HostId;
    readonly inFlight: number;
    readonly peers: number;
    readonly accounts: readonly {
        readonly accountId: AccountId;
        readonly share: number;
        readonly tokens: number;
        readonly running: number;
        readonly demandPerSecond: number;
    }[];
    readonly retryBalances: Readonly<Record<string, number>>;
} => ({
    hostId: state.hostId,
    inFlight: state.inFlight,
    peers: state.peers.size,
    accounts: [...state.accounts].map(([accountId, account]) => ({
        accountId,
        share: account.share,
        tokens: account.tokens,
        running: account.running,
        demandPerSecond: requestsPerSecond(account.demand, nowMs),
    })),
    retryBalances: Object.fromEntries(state.retryBalances),
});
