import { type AccountId, createRateMeter } from "@ibislanding/core";
import type { AccountLimits } from "../model/accountLimits";
import type { AccountState } from "../state/accountState";
import type { LimitsState } from "../state/limitsState";
import { refreshShare } from "./refreshShare";

const MS_PER_SECOND = 1_000;

const createAccount = (state: LimitsState, limits: AccountLimits, nowMs: number): AccountState => ({
    demand: createRateMeter(state.options.demandWindowMs),
    admitted: createRateMeter(state.options.demandWindowMs),
    tokens: limits.burstRequests / (state.peers.size + 1),
    filledAtMs: nowMs,
    running: 0,
    excessRequests: 0,
    share: 1 / (state.peers.size + 1),
    admittedByAll: 0,
    sharedAtMs: Number.NEGATIVE_INFINITY,
    keptShares: undefined,
    olderShares: undefined,
    keptAtMs: Number.NEGATIVE_INFINITY,
});

/** Updates the excess of all hosts and returns the requests that all hosts together pay back for the elapsed time. */
const payBack = (state: LimitsState, account: AccountState, ratePerSecond: number, elapsedMs: number): number => {
    const paidBack = Math.max(0, account.excessRequests) * Math.min(1, elapsedMs / state.options.paybackMs);
    const arisen = (account.admittedByAll - ratePerSecond) * elapsedMs / MS_PER_SECOND;
    // Down to one second below the limit, so that the noise of the measured rates evens out.
    account.excessRequests = Math.min(
        ratePerSecond,
        Math.max(-ratePerSecond, account.excessRequests + arisen - paidBack),
    );
    return paidBack;
};

/** Brings an account's local bucket up to date. */
export const touchAccount = (
    state: LimitsState,
    accountId: AccountId,
    limits: AccountLimits,
    nowMs: number,
): AccountState => {
    const account = state.accounts.get(accountId) ?? createAccount(state, limits, nowMs);
    state.accounts.set(accountId, account);
    refreshShare(state, accountId, account, nowMs);
    const elapsedMs = Math.max(0, nowMs - account.filledAtMs);
    const paidBack = payBack(state, account, limits.requestsPerSecond, elapsedMs);
    const filled = (limits.requestsPerSecond * elapsedMs / MS_PER_SECOND - paidBack) * account.share;
    const leastCapacity = limits.requestsPerSecond * account.share * state.options.leastBurstMs / MS_PER_SECOND;
    const capacity = Math.max(1, leastCapacity, limits.burstRequests * account.share);
    account.tokens = Math.min(capacity, account.tokens + Math.max(0, filled));
    account.filledAtMs = nowMs;
    return account;
};
