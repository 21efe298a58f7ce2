import type { AccountId, HostId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";
import { requestsPerSecond } from "./requestsPerSecond";

/**
 * Returns each entry host's share of an account's limit. Shares are proportional to demand, so that capacity unused by
 * one host moves to the others; a host without demand keeps a small share for its next request.
 */
export const computeAccountShares = (
    state: LimitsState,
    accountId: AccountId,
    nowMs: number,
): ReadonlyMap<HostId, number> => {
    const own = state.accounts.get(accountId);
    const ownDemand = own === undefined ? 0 : requestsPerSecond(own.demand, nowMs);
    const demands: (readonly [HostId, number])[] = [
        [state.hostId, ownDemand],
        ...[...state.peers].map(([hostId, peer]) =>
            [hostId, peer?.accounts.get(accountId)?.demandPerSecond ?? 0] as const
        ),
    ];
    const meanDemand = demands.reduce((sum, [, demand]) => sum + demand, 0) / demands.length;
    const minimumWeight = Math.max(meanDemand, Number.EPSILON) * state.options.minimumShareWeight;
    const weights = demands.map(([hostId, demand]) => [hostId, Math.max(demand, minimumWeight)] as const);
    const total = weights.reduce((sum, [, weight]) => sum + weight, 0);
    return new Map(weights.map(([hostId, weight]) => [hostId, weight / total]));
};
