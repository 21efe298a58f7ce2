import { createFailure, ErrorCode, type Failure, type HostId } from "@ibislanding/core";
import { Err, type Result } from "ts-results";
import type { ActionLedgerOptions } from "../actions/actionLedgerOptions";
import type { ClaimWriter } from "../model/claimWriter";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import { preferredWriterOf } from "../queries/preferredWriterOf";
import { recordIdOf } from "../queries/recordIdOf";
import { shardOf } from "../queries/shardOf";
import { createShardStorage } from "../storage/createShardStorage";
import { createShardTask } from "./createShardTask";
import type { OperationRouter } from "./operationRouter";
import type { ShardTask } from "./shardTask";

/** Creates the shard tasks of this process, and a router to them and to the preferred writers. */
export const createOperationRouter = (options: ActionLedgerOptions): OperationRouter => {
    const { self, limits, clock, random, hasher, hosts, peers, timing } = options;
    const cooldownUntilMs = new Map<HostId, number>();

    const createTaskOf = (shard: number): ShardTask =>
        createShardTask({
            storage: createShardStorage({ store: options.store, shard, random, timeoutMs: timing.storeTimeoutMs }),
            limits,
            clock,
            random,
            backoff: timing.backoff,
            groupDelayMs: timing.groupDelayMs,
            failFastAttempts: timing.failFastAttempts,
            onError: options.onError,
        });

    const tasks = Array.from({ length: limits.shardCount }, (_, shard) => createTaskOf(shard));

    const submitLocally = async (
        shard: number,
        operation: LedgerOperation,
        isCancelled?: () => boolean,
    ): Promise<Result<OperationResult, Failure>> =>
        tasks[shard]?.submit(operation, isCancelled) ?? Err(createFailure(ErrorCode.BadRequest));

    const remoteWriterOf = (shard: number): ClaimWriter | undefined => {
        const writer = preferredWriterOf(shard, hosts.liveEntryHosts(), hasher);
        const isRemote = writer !== undefined && writer.hostId !== self.hostId;
        return isRemote && (cooldownUntilMs.get(writer.hostId) ?? 0) <= clock.monotonicMs() ? writer : undefined;
    };

    return {
        submit: async (operation, isCancelled) => {
            const shard = shardOf(recordIdOf(operation), limits.shardCount, hasher);
            const writer = remoteWriterOf(shard);
            if (writer !== undefined) {
                const forwarded = await peers.forward(writer, shard, operation);
                if (forwarded.ok) {
                    cooldownUntilMs.delete(writer.hostId);
                    return forwarded;
                }
                cooldownUntilMs.set(writer.hostId, clock.monotonicMs() + timing.failedWriterCooldownMs);
            }
            return submitLocally(shard, operation, isCancelled);
        },
        commitLocally: submitLocally,
        pendingCounts: () => tasks.map(task => task.pendingCount()),
        [Symbol.asyncDispose]: async () => {
            await Promise.all(tasks.map(task => task[Symbol.asyncDispose]()));
        },
    };
};
