import { type AccountId, createFailure, ErrorCode, type Failure, type RandomSource } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { AccountLimits } from "../model/accountLimits";
import type { LimitsState } from "../state/limitsState";
import { refreshAccount } from "./refreshAccount";

const MS_PER_SECOND = 1_000;

const refuse = (
    state: LimitsState,
    code: ErrorCode,
    timeToCapacityMs: number,
    random: RandomSource,
): Result<void, Failure> => {
    const { minimumRetryAfterMs, maximumRetryAfterMs } = state.options;
    const baseMs = Math.min(maximumRetryAfterMs / 2, Math.max(minimumRetryAfterMs, timeToCapacityMs));
    return Err(createFailure(code, { retryAfterMs: Math.round(baseMs * (1 + random.nextFloat())) }));
};

/**
 * Admits a request or refuses it immediately: `over_limit` when the account's local share is exhausted, `overloaded`
 * when the process has reached its in-flight limit for the priority. Call `releaseRequest` when an admitted request
 * ends.
 */
export const admitRequest = (
    state: LimitsState,
    accountId: AccountId,
    limits: AccountLimits & { readonly priority: "high" | "normal" | "low"; },
    nowMs: number,
    random: RandomSource,
): Result<void, Failure> => {
    const account = refreshAccount(state, accountId, limits, nowMs);
    account.demand.add(1, nowMs);
    if (account.tokens < 1) {
        const ratePerSecond = limits.requestsPerSecond * account.share;
        return refuse(state, ErrorCode.OverLimit, (1 - account.tokens) / ratePerSecond * MS_PER_SECOND, random);
    }
    if (account.running >= Math.max(1, Math.floor(limits.maximumConcurrent * account.share))) {
        return refuse(state, ErrorCode.OverLimit, state.options.minimumRetryAfterMs, random);
    }
    if (state.inFlight >= state.options.maximumInFlight * state.options.inFlightShares[limits.priority]) {
        return refuse(state, ErrorCode.Overloaded, state.options.minimumRetryAfterMs, random);
    }
    account.tokens--;
    account.admitted.add(1, nowMs);
    account.running++;
    state.inFlight++;
    return Ok(undefined);
};
