import { backoffDelayMs, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, type Result } from "ts-results";
import type { AdminClient } from "./adminClient";
import type { OperationChange } from "./operationChange";
import type { OperationResponse } from "./operationResponse";
import type { RetryTiming } from "./retryTiming";

const BACKOFF = { initialDelayMs: 200, maximumDelayMs: 3_000 };

const OUTCOME_UNKNOWN_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.OutcomeUnknown,
    ErrorCode.KeyValueOutcomeUnknown,
    ErrorCode.Internal,
]);

/** Failures after which an operation is retried only if an earlier attempt left its outcome unknown. */
const UNAVAILABLE_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.PeerUnavailable,
    ErrorCode.NotReady,
    ErrorCode.Overloaded,
    ErrorCode.KeyValueUnavailable,
]);

interface Submission {
    readonly operationId: string;
    readonly changes: readonly OperationChange[];
    readonly dryRun: boolean;
    /** Called with each failure that leaves the outcome unknown, before the operation is queried. */
    readonly onRetry: (failure: Failure) => void;
}

/**
 * Submits an operation.
 *
 * When the outcome is unknown, queries the operation by its id and, if the query fails, submits it again with the same
 * id. Fails with `outcome_unknown` when the outcome is still unknown after the timeout.
 */
export const submitOperation = async (
    client: AdminClient,
    { operationId, changes, dryRun, onRetry }: Submission,
    { clock, random, timeoutMs }: RetryTiming,
): Promise<Result<OperationResponse, Failure>> => {
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    const post = () =>
        client.call<OperationResponse>({
            method: "POST",
            path: `/v1/operations${dryRun ? "?dryRun=true" : ""}`,
            headers: { "operation-id": operationId },
            document: { changes },
        });
    const query = () => client.call<OperationResponse>({ method: "GET", path: `/v1/operations/${operationId}` });

    let isOutcomeUnknown = false;
    for (let attempt = 0;; attempt++) {
        const result = await post();
        if (result.ok) {
            return result;
        }
        const { code } = result.val;
        isOutcomeUnknown ||= OUTCOME_UNKNOWN_CODES.has(code);
        if (!isOutcomeUnknown || !(OUTCOME_UNKNOWN_CODES.has(code) || UNAVAILABLE_CODES.has(code))) {
            return result;
        }
        onRetry(result.val);
        await clock.sleep(backoffDelayMs(attempt, BACKOFF, random));
        const recorded = await query();
        if (recorded.ok) {
            return recorded;
        }
        if (clock.monotonicMs() >= deadlineMs) {
            return Err(createFailure(ErrorCode.OutcomeUnknown, {
                message:
                    "It is unknown whether the change was accepted. Run the command again with the same --operation-id.",
                details: { operationId },
            }));
        }
    }
};
