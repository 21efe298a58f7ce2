import type { AccountId, HostId } from "@ibislanding/core";
import { computeAccountShares } from "../queries/computeAccountShares";
import { requestsPerSecond } from "../queries/requestsPerSecond";
import type { AccountState } from "../state/accountState";
import type { LimitsState } from "../state/limitsState";

const sumShares = (shares: ReadonlyMap<HostId, number>, hostIds: readonly HostId[]): number =>
    hostIds.reduce((sum, hostId) => sum + (shares.get(hostId) ?? 0), 0);

const listReachablePeers = (state: LimitsState, nowMs: number): readonly HostId[] =>
    [...state.peers]
        .filter(([, peer]) => peer === undefined || nowMs - peer.receivedAtMs <= state.options.peerTimeoutMs)
        .map(([hostId]) => hostId);

/**
 * Records the shares while all hosts are reachable. A partition is detected only after `peerTimeoutMs`, so the latest
 * snapshot may date from after its start; the previous one is from before.
 */
const recordSnapshot = (
    state: LimitsState,
    account: AccountState,
    shares: ReadonlyMap<HostId, number>,
    nowMs: number,
): void => {
    if (nowMs - account.snapshotAtMs >= state.options.peerTimeoutMs) {
        account.previousSnapshotShares = account.snapshotShares ?? shares;
        account.snapshotShares = shares;
        account.snapshotAtMs = nowMs;
    }
};

/**
 * Returns the share of this host. In a network partition, the reachable hosts are together limited to the share that
 * they had before it, increased by `partitionExcessRatio`.
 */
const computeBoundedShare = (
    state: LimitsState,
    accountId: AccountId,
    account: AccountState,
    nowMs: number,
): number => {
    const shares = computeAccountShares(state, accountId, nowMs);
    const ownShare = shares.get(state.hostId) ?? 0;
    const reachable = listReachablePeers(state, nowMs);
    if (reachable.length === state.peers.size) {
        recordSnapshot(state, account, shares, nowMs);
        return ownShare;
    }
    const partitionHostIds = [state.hostId, ...reachable];
    const partitionShare = sumShares(account.previousSnapshotShares ?? shares, partitionHostIds)
        * (1 + state.options.partitionExcessRatio);
    return ownShare / sumShares(shares, partitionHostIds) * Math.min(1, partitionShare);
};

/** Recomputes the values that depend on all hosts, at most once per interval as the cost grows with their number. */
export const refreshShare = (state: LimitsState, accountId: AccountId, account: AccountState, nowMs: number): void => {
    if (nowMs - account.shareComputedAtMs < state.options.shareRefreshIntervalMs) {
        return;
    }
    account.share = computeBoundedShare(state, accountId, account, nowMs);
    account.totalAdmittedPerSecond = [...state.peers.values()].reduce(
        (sum, peer) => sum + (peer?.accounts.get(accountId)?.admittedPerSecond ?? 0),
        requestsPerSecond(account.admitted, nowMs),
    );
    account.shareComputedAtMs = nowMs;
};
