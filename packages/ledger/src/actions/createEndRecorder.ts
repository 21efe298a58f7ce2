import { backoffDelayMs } from "@ibislanding/core";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationRouter } from "../shard/operationRouter";
import type { ActionLedgerOptions } from "./actionLedgerOptions";
import type { EndRecorder } from "./endRecorder";
import { withTimeout } from "./withTimeout";

interface EndRecorderOptions extends Pick<ActionLedgerOptions, "clock" | "random" | "timing"> {
    readonly router: OperationRouter;
}

/** Creates a recorder that retries each operation with backoff until it is applied or the recorder is disposed of. */
export const createEndRecorder = ({ router, clock, random, timing }: EndRecorderOptions): EndRecorder => {
    const running = new Set<Promise<void>>();
    const disposal = new AbortController();

    const recordUntilApplied = async (operation: LedgerOperation): Promise<void> => {
        for (let attempt = 0; !disposal.signal.aborted; attempt++) {
            const result = await router.submit(operation);
            if (result.ok) {
                return;
            }
            await clock.sleep(backoffDelayMs(attempt, timing.backoff, random), disposal.signal);
        }
    };

    return {
        record: operation => {
            const recording = recordUntilApplied(operation).finally(() => running.delete(recording));
            running.add(recording);
            return recording;
        },
        unrecordedCount: () => running.size,
        [Symbol.asyncDispose]: async () => {
            await withTimeout(Promise.all(running), timing.stopTimeoutMs, clock);
            disposal.abort();
        },
    };
};
