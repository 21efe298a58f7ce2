import { ErrorCode, type Failure, type HostId } from "@ibislanding/core";
import { createLimitsState, deadlineOf, depositRetries, remainingMs, withdrawRetry } from "@ibislanding/limits";
import fc from "fast-check";

/** Returns the attempts per request for a sequence of failures, with up to three retries of each failed request. */
const attemptsPerRequest = (failures: readonly boolean[], retryRatio: number): number => {
    const state = createLimitsState("entry-1" as HostId, { retryRatio, maximumRetryBalance: 1e9 });
    const outcomes = failures.values();
    const attempt = (retriesLeft: number): number => {
        const hasFailed = outcomes.next().value ?? true;
        return 1
            + (hasFailed && retriesLeft > 0 && withdrawRetry(state, "advisor", "retry") ? attempt(retriesLeft - 1) : 0);
    };
    const requests = Math.max(1, failures.length);
    const attempts = Array.from({ length: requests }, () => {
        depositRetries(state, "advisor");
        return attempt(3);
    });
    return attempts.reduce((sum, count) => sum + count, 0) / requests;
};

describe("retry budget", () => {
    it("limits attempts per request to 1.1 for any pattern of failures", () => {
        fc.assert(
            fc.property(fc.array(fc.boolean(), { maxLength: 300 }), failures => {
                expect(attemptsPerRequest(failures, 0.1)).toBeLessThanOrEqual(1.1);
            }),
            { seed: 7, numRuns: 200, endOnFailure: true },
        );
    });

    it("reaches four attempts per request when the budget does not limit retries", () => {
        expect(attemptsPerRequest(Array(100).fill(true), 4)).toBe(4);
    });

    it("always allows an accepted stream to move, at the cost of later retries", () => {
        const state = createLimitsState("entry-1" as HostId);
        Array.from({ length: 10 }, () => depositRetries(state, "advisor"));
        expect([withdrawRetry(state, "advisor", "move"), withdrawRetry(state, "advisor", "move")]).toEqual([
            true,
            true,
        ]);
        expect(withdrawRetry(state, "advisor", "retry")).toBe(false);
    });
});

describe("deadlines", () => {
    it("uses the shorter of the service's and the caller's timeout", () => {
        expect(deadlineOf(30_000, undefined, 5)).toBe(30_005);
        expect(deadlineOf(30_000, 100, 5)).toBe(105);
        expect(remainingMs(105, 55).val).toBe(50);
        expect((remainingMs(105, 105).val as Failure).code).toBe(ErrorCode.DeadlinePassed);
    });
});
