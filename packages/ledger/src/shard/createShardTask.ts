import { backoffDelayMs, createDeferred, createFailure, createTask, ErrorCode, type Failure } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import { createShardCommitter } from "./createShardCommitter";
import type { PendingOperation } from "./pendingOperation";
import type { ShardTask } from "./shardTask";
import type { ShardTaskOptions } from "./shardTaskOptions";

type ShardMessage =
    | { readonly kind: "submit"; readonly pending: PendingOperation; }
    | { readonly kind: "commit"; };

/** Operations whose caller awaits the result and can handle a failure; the others are retried until applied. */
const failsFast: Readonly<Record<LedgerOperation["kind"], boolean>> = {
    claim: true,
    takeOver: true,
    read: true,
    finish: false,
    release: false,
    markUnknown: false,
};

/** Creates the task that commits the operations of a shard in this process. */
export const createShardTask = (options: ShardTaskOptions): ShardTask => {
    const { clock, random, limits } = options;
    const committer = createShardCommitter(options);
    const disposal = new AbortController();
    let pending: readonly PendingOperation[] = [];
    const unsettled = new Set<PendingOperation>();
    let commitQueued = false;
    let failedAttempts = 0;
    let activeRefusal: { readonly failure: Failure; readonly untilMs: number; } | undefined;

    const queueCommit = (): void => {
        if (!commitQueued) {
            commitQueued = true;
            clock.setTimer(options.groupDelayMs, () => task.post({ kind: "commit" }));
        }
    };

    const scheduleRetry = (failure?: Failure): void => {
        commitQueued = true;
        const delayMs = backoffDelayMs(Math.max(0, failedAttempts - 1), options.backoff, random);
        if (failure !== undefined && failedAttempts >= options.failFastAttempts) {
            activeRefusal = { failure, untilMs: clock.monotonicMs() + delayMs };
        }
        clock.setTimer(delayMs, () => task.post({ kind: "commit" }));
    };

    /** Returns the failure of an operation that is rejected at once because recent commits failed. */
    const refusalOf = ({ kind }: LedgerOperation): Failure | undefined =>
        activeRefusal !== undefined && failsFast[kind] && clock.monotonicMs() < activeRefusal.untilMs
            ? activeRefusal.failure
            : undefined;

    const removeSettled = (settled: readonly PendingOperation[]): void => {
        settled.forEach(operation => unsettled.delete(operation));
        pending = pending.filter(operation => unsettled.has(operation));
    };

    const settle = (batch: readonly PendingOperation[], results: readonly OperationResult[]): void => {
        removeSettled(batch);
        batch.forEach(({ deferred }, position) => {
            const result = results[position];
            deferred.resolve(result === undefined ? Err(createFailure(ErrorCode.Internal)) : Ok(result));
        });
    };

    const fail = (failing: readonly PendingOperation[], failure: Failure): void => {
        removeSettled(failing);
        failing.forEach(({ deferred }) => deferred.resolve(Err(failure)));
    };

    const handleFailure = (failure: Failure): void => {
        failedAttempts++;
        if (failedAttempts >= options.failFastAttempts) {
            fail(pending.filter(({ operation }) => failsFast[operation.kind]), failure);
        }
    };

    const commit = async (): Promise<void> => {
        commitQueued = false;
        fail(pending.filter(({ isCancelled }) => isCancelled()), createFailure(ErrorCode.Cancelled));
        const batch = pending.slice(0, limits.maximumBatch);
        if (batch.length === 0) {
            return;
        }
        const outcome = await committer.commit(batch.map(({ operation }) => operation));
        match(outcome)
            .with({ kind: "committed" }, ({ results }) => {
                failedAttempts = 0;
                activeRefusal = undefined;
                settle(batch, results);
            })
            .with({ kind: "reread" }, () => undefined)
            .with({ kind: "failed" }, ({ failure }) => handleFailure(failure))
            .exhaustive();
        if (outcome.kind === "committed") {
            await committer.mergeSegments();
        }
        if (outcome.kind === "failed") {
            scheduleRetry(outcome.failure);
        }
        else if (pending.length > 0) {
            queueCommit();
        }
    };

    const task = createTask<ShardMessage>({
        handle: message =>
            match(message)
                .with({ kind: "submit" }, submitted => {
                    pending = [...pending, submitted.pending];
                    queueCommit();
                })
                .with({ kind: "commit" }, commit)
                .exhaustive(),
        onError: error => {
            options.onError(error);
            scheduleRetry();
        },
    });

    return {
        submit: (operation, isCancelled = () => false) => {
            if (disposal.signal.aborted) {
                return Promise.resolve(Err(createFailure(ErrorCode.NotReady)));
            }
            const refused = refusalOf(operation);
            if (refused !== undefined) {
                return Promise.resolve(Err(refused));
            }
            const deferred = createDeferred<Awaited<ReturnType<ShardTask["submit"]>>>();
            const submitted = { operation, deferred, isCancelled };
            unsettled.add(submitted);
            task.post({ kind: "submit", pending: submitted });
            return deferred.promise;
        },
        pendingCount: () => unsettled.size,
        [Symbol.asyncDispose]: async () => {
            disposal.abort();
            await task[Symbol.asyncDispose]();
            fail([...unsettled], createFailure(ErrorCode.NotReady));
        },
    };
};
