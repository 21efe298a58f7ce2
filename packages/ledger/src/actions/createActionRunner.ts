import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { ClaimTable } from "../claims/claimTable";
import type { ActionRecord } from "../model/actionRecord";
import type { ClaimId } from "../model/claimId";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { ClaimStatus } from "../peers/claimStatus";
import type { OperationRouter } from "../shard/operationRouter";
import type { ActionAnswer } from "./actionAnswer";
import type { ActionLedger } from "./actionLedger";
import type { ActionLedgerOptions } from "./actionLedgerOptions";
import type { ActionOutcome } from "./actionOutcome";
import type { ActionRequest } from "./actionRequest";
import type { EndRecorder } from "./endRecorder";
import { notRunCodes } from "./notRunCodes";
import { toRecordedAnswer } from "./toRecordedAnswer";
import { toReplayedOutcome } from "./toReplayedOutcome";
import { withTimeout } from "./withTimeout";

interface ActionRunnerOptions
    extends Pick<ActionLedgerOptions, "self" | "peers" | "clock" | "limits" | "timing" | "strategy" | "onError"> {
    readonly claims: ClaimTable;
    readonly router: OperationRouter;
    readonly recorder: EndRecorder;
}

interface Attempt {
    readonly request: ActionRequest;
    readonly claimId: ClaimId;
    readonly deadlineMs: number;
}

type ActionResult = Result<ActionOutcome, Failure>;

/** Maximum number of takeovers by one attempt. */
const MAXIMUM_TAKEOVERS = 3;

/** Maximum number of sends by one attempt; only repeatable or deduplicated actions are sent more than once. */
const MAXIMUM_SEND_ATTEMPTS = 2;

/** Creates the function that claims, sends and records one action. */
export const createActionRunner = (options: ActionRunnerOptions): ActionLedger["runAction"] => {
    const { self, peers, clock, limits, timing, strategy, claims, router, recorder } = options;

    const remainingMs = ({ deadlineMs }: Attempt): number => Math.max(0, Math.ceil(deadlineMs - clock.monotonicMs()));

    const createNotRunFailure = (reason: ErrorCode): Failure =>
        createFailure(ErrorCode.NotRun, { retryAfterMs: timing.retryAfterMs, details: { reason } });

    const inProgressResult = (): ActionResult =>
        Err(createFailure(ErrorCode.ActionInProgress, { retryAfterMs: timing.retryAfterMs }));

    const outcomeUnknownResult = (): ActionResult => Err(createFailure(ErrorCode.OutcomeUnknown));

    const targetOf = ({ request: { accountId, key }, claimId }: Attempt) => ({ accountId, key, claimId });

    const claimFieldsOf = (attempt: Attempt) => ({
        ...targetOf(attempt),
        requestSha256: attempt.request.requestSha256,
        writer: self,
    });

    /** Abandons an attempt that did not run the action, and releases its record. */
    const abandon = (attempt: Attempt, failure: Failure): ActionResult => {
        claims.abandon(attempt.claimId);
        void recorder.record({ kind: "release", ...targetOf(attempt) })
            .then(() => claims.remove(attempt.claimId));
        return Err(failure);
    };

    const recordEnd = async (attempt: Attempt, operation: LedgerOperation): Promise<void> => {
        claims.markFinished(attempt.claimId);
        const recorded = recorder.record(operation).then(() => claims.remove(attempt.claimId));
        await withTimeout(recorded, Math.min(timing.recordTimeoutMs, remainingMs(attempt)), clock);
    };

    const sendOnce = async (attempt: Attempt): Promise<Result<ActionAnswer, Failure>> => {
        try {
            return await attempt.request.send({ claimId: attempt.claimId, timeoutMs: remainingMs(attempt) });
        }
        catch (error) {
            options.onError(error);
            return Err(createFailure(ErrorCode.Internal));
        }
    };

    /** Sends the action; if it failed but may have run, sends it again only if it is repeatable or deduplicated. */
    const sendWithRetry = async (attempt: Attempt, sendCount = 1): Promise<Result<ActionAnswer, Failure>> => {
        const result = await sendOnce(attempt);
        const mayHaveRun = result.err && !notRunCodes.has(result.val.code);
        const mayRepeat = isRepeatable(attempt) && sendCount < MAXIMUM_SEND_ATTEMPTS && remainingMs(attempt) > 0;
        if (!mayHaveRun || !mayRepeat) {
            return result;
        }
        const repeated = await sendWithRetry(attempt, sendCount + 1);
        return repeated.ok ? repeated : result;
    };

    const send = async (attempt: Attempt): Promise<ActionResult> => {
        if (remainingMs(attempt) === 0) {
            return abandon(attempt, createNotRunFailure(ErrorCode.DeadlinePassed));
        }
        const result = await sendWithRetry(attempt);
        const target = targetOf(attempt);
        if (result.ok) {
            const answer = toRecordedAnswer(result.val, limits.maximumAnswerBytes);
            await recordEnd(attempt, { kind: "finish", ...target, answer });
            return Ok({ answer: result.val, replayed: false });
        }
        if (notRunCodes.has(result.val.code)) {
            return abandon(attempt, createNotRunFailure(result.val.code));
        }
        await recordEnd(attempt, { kind: "markUnknown", ...target });
        return outcomeUnknownResult();
    };

    const submitClaim = async (
        attempt: Attempt,
        operation: LedgerOperation,
        takeovers: number,
    ): Promise<ActionResult> => {
        const isAbandoned = (): boolean => claims.statusOf(attempt.claimId) === "abandoned";
        const timeoutMs = Math.min(timing.claimTimeoutMs, remainingMs(attempt));
        const outcome = await withTimeout(router.submit(operation, isAbandoned), timeoutMs, clock);
        if (strategy.maySend(outcome)) {
            return send(attempt);
        }
        if (outcome?.ok !== true) {
            return abandon(attempt, createNotRunFailure(outcome?.val.code ?? ErrorCode.KeyValueUnavailable));
        }
        return handleRefusedClaim(attempt, outcome.val, takeovers);
    };

    const handleRefusedClaim = (attempt: Attempt, result: OperationResult, takeovers: number): Promise<ActionResult> =>
        match(result)
            .with({ kind: "recorded" }, ({ record }) => handleRecord(attempt, record, takeovers))
            .with({ kind: "full" }, async () => abandon(attempt, createNotRunFailure(ErrorCode.Overloaded)))
            .with({ kind: "keyReused" }, async () => abandon(attempt, createFailure(ErrorCode.KeyReused)))
            .otherwise(async () => abandon(attempt, createNotRunFailure(ErrorCode.Internal)));

    const handleRecord = (attempt: Attempt, record: ActionRecord, takeovers: number): Promise<ActionResult> =>
        match(record.state)
            .with("done", async () => discardClaim(attempt, toReplayedOutcome(record.answer)))
            .with("unknown", () => handleUnresolvedClaim(attempt, record, takeovers))
            .with("claimed", () => handleOpenClaim(attempt, record, takeovers))
            .exhaustive();

    /** Drops the claim of an attempt that could not open it because the record belongs to another claim. */
    const discardClaim = (attempt: Attempt, outcome: ActionResult): ActionResult => {
        claims.abandon(attempt.claimId);
        claims.remove(attempt.claimId);
        return outcome;
    };

    const isRepeatable = ({ request: { service } }: Attempt): boolean => service.deduplicates || service.repeatable;

    const takeOver = (attempt: Attempt, record: ActionRecord, takeovers: number): Promise<ActionResult> =>
        takeovers >= MAXIMUM_TAKEOVERS
            ? Promise.resolve(discardClaim(attempt, inProgressResult()))
            : submitClaim(
                attempt,
                { kind: "takeOver", ...claimFieldsOf(attempt), previousClaimId: record.claimId },
                takeovers + 1,
            );

    /** Handles a claim of another attempt whose outcome cannot be determined. */
    const handleUnresolvedClaim = async (
        attempt: Attempt,
        record: ActionRecord,
        takeovers: number,
    ): Promise<ActionResult> => {
        if (isRepeatable(attempt) || strategy.mayReplace(record, clock.wallMs())) {
            return takeOver(attempt, record, takeovers);
        }
        const { accountId, key, claimId } = record;
        const operation = { kind: "markUnknown", accountId, key, claimId } as const;
        const timeoutMs = Math.min(timing.claimTimeoutMs, remainingMs(attempt));
        const marked = record.state === "unknown"
            ? undefined
            : await withTimeout(router.submit(operation), timeoutMs, clock);
        const current = marked?.ok === true && marked.val.kind === "recorded" ? marked.val.record : undefined;
        return discardClaim(
            attempt,
            current?.state === "done" ? toReplayedOutcome(current.answer) : outcomeUnknownResult(),
        );
    };

    /** Waits for another attempt in this process that opened the claim, and returns its outcome as a replay. */
    const awaitOwnClaim = async (attempt: Attempt, claimId: ClaimId): Promise<ActionResult> => {
        const completion = claims.completionOf(claimId);
        const outcome = completion && await withTimeout(completion, remainingMs(attempt), clock);
        const joined = outcome?.ok ? Ok({ ...outcome.val, replayed: true }) : outcome;
        return discardClaim(attempt, joined ?? inProgressResult());
    };

    const statusOf = async (record: ActionRecord): Promise<ClaimStatus> => {
        if (record.writer.hostId === self.hostId) {
            return claims.statusOf(record.claimId);
        }
        const result = await peers.claimStatus(record.writer, record.claimId);
        return result.ok ? result.val : "unknown";
    };

    const handleOpenClaim = async (
        attempt: Attempt,
        record: ActionRecord,
        takeovers: number,
    ): Promise<ActionResult> => {
        const isOwn = record.writer.hostId === self.hostId;
        const status = await withTimeout(statusOf(record), remainingMs(attempt), clock);
        return match(status ?? "unknown")
            .with("abandoned", () => takeOver(attempt, record, takeovers))
            .with(
                "running",
                async () => isOwn ? awaitOwnClaim(attempt, record.claimId) : discardClaim(attempt, inProgressResult()),
            )
            .with("finished", async () => discardClaim(attempt, inProgressResult()))
            .with("unknown", () => handleUnresolvedClaim(attempt, record, takeovers))
            .exhaustive();
    };

    return async request => {
        const { claimId, complete } = claims.open();
        const attempt = { request, claimId, deadlineMs: clock.monotonicMs() + request.timeoutMs };
        const outcome = await submitClaim(attempt, { kind: "claim", ...claimFieldsOf(attempt) }, 0);
        complete(outcome);
        return outcome;
    };
};
