import type { AccountId, HostId } from "@ibislanding/core";
import { accountShares } from "../queries/accountShares";
import { requestsPerSecond } from "../queries/requestsPerSecond";
import type { AccountState } from "../state/accountState";
import type { LimitsState } from "../state/limitsState";

const sumOver = (shares: ReadonlyMap<HostId, number>, hostIds: readonly HostId[]): number =>
    hostIds.reduce((sum, hostId) => sum + (shares.get(hostId) ?? 0), 0);

const listReachable = (state: LimitsState, nowMs: number): readonly HostId[] =>
    [...state.peers]
        .filter(([, peer]) => peer === undefined || nowMs - peer.heardAtMs <= state.options.peerSilenceMs)
        .map(([hostId]) => hostId);

/** Keeps the shares of a time when all hosts were in reach; of two, the older one is from before a split was noticed. */
const keepShares = (
    state: LimitsState,
    account: AccountState,
    shares: ReadonlyMap<HostId, number>,
    nowMs: number,
): void => {
    if (nowMs - account.keptAtMs >= state.options.peerSilenceMs) {
        account.olderShares = account.keptShares ?? shares;
        account.keptShares = shares;
        account.keptAtMs = nowMs;
    }
};

/** Returns the part of this host; in a split, the hosts in reach together keep to what they had before, plus a little. */
const boundedShare = (state: LimitsState, accountId: AccountId, account: AccountState, nowMs: number): number => {
    const shares = accountShares(state, accountId, nowMs);
    const own = shares.get(state.hostId) ?? 0;
    const reachable = listReachable(state, nowMs);
    if (reachable.length === state.peers.size) {
        keepShares(state, account, shares, nowMs);
        return own;
    }
    const group = [state.hostId, ...reachable];
    const groupShare = sumOver(account.olderShares ?? shares, group) * (1 + state.options.splitExcess);
    return own / sumOver(shares, group) * Math.min(1, groupShare);
};

/** Recomputes what depends on all hosts, at most once an interval since its cost grows with their number. */
export const refreshShare = (state: LimitsState, accountId: AccountId, account: AccountState, nowMs: number): void => {
    if (nowMs - account.sharedAtMs < state.options.shareIntervalMs) {
        return;
    }
    account.share = boundedShare(state, accountId, account, nowMs);
    account.admittedByAll = [...state.peers.values()].reduce(
        (sum, peer) => sum + (peer?.accounts.get(accountId)?.admittedPerSecond ?? 0),
        requestsPerSecond(account.admitted, nowMs),
    );
    account.sharedAtMs = nowMs;
};
