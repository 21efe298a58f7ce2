import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { AdminClient } from "./adminClient";
import type { OperationResponse } from "./operationResponse";
import type { RetryTiming } from "./retryTiming";

const POLL_MS = 250;

/** Polls until an accepted operation is in force; ignores failed polls, and fails with `deadline_passed` on timeout. */
export const waitUntilInForce = async (
    client: AdminClient,
    accepted: OperationResponse,
    onProgress: (operation: OperationResponse) => void,
    { clock, timeoutMs }: RetryTiming,
): Promise<Result<OperationResponse, Failure>> => {
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    let latest = accepted;
    while (latest.inForce.status !== "True") {
        onProgress(latest);
        if (clock.monotonicMs() >= deadlineMs) {
            const { reason } = latest.inForce;
            const message = `Revision ${latest.revision} is accepted, but not known to be in force: ${reason}.`;
            return Err(createFailure(ErrorCode.DeadlinePassed, {
                message,
                details: { operationId: latest.operationId },
            }));
        }
        await clock.sleep(POLL_MS);
        const path = `/v1/operations/${latest.operationId}`;
        const result = await client.call<OperationResponse>({ method: "GET", path });
        latest = result.ok ? result.val : latest;
    }
    onProgress(latest);
    return Ok(latest);
};
