import { type AccountId, createRateMeter } from "@ibislanding/core";
import type { AccountLimits } from "../model/accountLimits";
import type { AccountState } from "../state/accountState";
import type { LimitsState } from "../state/limitsState";
import { refreshShare } from "./refreshShare";

const MS_PER_SECOND = 1_000;

const createAccountState = (state: LimitsState, limits: AccountLimits, nowMs: number): AccountState => ({
    demand: createRateMeter(state.options.demandWindowMs),
    admitted: createRateMeter(state.options.demandWindowMs),
    tokens: limits.burstRequests / (state.peers.size + 1),
    refilledAtMs: nowMs,
    running: 0,
    excessRequests: 0,
    share: 1 / (state.peers.size + 1),
    totalAdmittedPerSecond: 0,
    shareComputedAtMs: Number.NEGATIVE_INFINITY,
    snapshotShares: undefined,
    previousSnapshotShares: undefined,
    snapshotAtMs: Number.NEGATIVE_INFINITY,
});

/** Updates the excess of all hosts and returns the requests that they deduct from their refills to correct it. */
const correctExcess = (state: LimitsState, account: AccountState, ratePerSecond: number, elapsedMs: number): number => {
    const withheldRequests = Math.max(0, account.excessRequests)
        * Math.min(1, elapsedMs / state.options.excessCorrectionMs);
    const accruedRequests = (account.totalAdmittedPerSecond - ratePerSecond) * elapsedMs / MS_PER_SECOND;
    // Bounded to one second of requests; negative values are kept so that noise in the measured rates averages out.
    account.excessRequests = Math.min(
        ratePerSecond,
        Math.max(-ratePerSecond, account.excessRequests + accruedRequests - withheldRequests),
    );
    return withheldRequests;
};

/** Returns an account with its share and local token bucket updated to `nowMs`; creates the account on first use. */
export const refreshAccount = (
    state: LimitsState,
    accountId: AccountId,
    limits: AccountLimits,
    nowMs: number,
): AccountState => {
    const account = state.accounts.get(accountId) ?? createAccountState(state, limits, nowMs);
    state.accounts.set(accountId, account);
    refreshShare(state, accountId, account, nowMs);
    const elapsedMs = Math.max(0, nowMs - account.refilledAtMs);
    const withheldRequests = correctExcess(state, account, limits.requestsPerSecond, elapsedMs);
    const refilledTokens = (limits.requestsPerSecond * elapsedMs / MS_PER_SECOND - withheldRequests) * account.share;
    const minimumCapacity = limits.requestsPerSecond * account.share * state.options.minimumBurstMs / MS_PER_SECOND;
    const capacity = Math.max(1, minimumCapacity, limits.burstRequests * account.share);
    account.tokens = Math.min(capacity, account.tokens + Math.max(0, refilledTokens));
    account.refilledAtMs = nowMs;
    return account;
};
