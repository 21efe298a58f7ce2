import { createClaimTable } from "../claims/createClaimTable";
import { createOperationRouter } from "../shard/createOperationRouter";
import type { ActionLedger } from "./actionLedger";
import type { ActionLedgerOptions } from "./actionLedgerOptions";
import { createActionRunner } from "./createActionRunner";
import { createEndRecorder } from "./createEndRecorder";
import { withTimeout } from "./withTimeout";

/** Creates the ledger of one entry host. */
export const createActionLedger = (options: ActionLedgerOptions): ActionLedger => {
    const claims = createClaimTable(options.self.hostId, options.random);
    const router = createOperationRouter(options);
    const recorder = createEndRecorder({ ...options, router });
    const runAction = createActionRunner({ ...options, claims, router, recorder });
    const running = new Set<Promise<unknown>>();

    return {
        runAction: request => {
            const attempt = runAction(request).finally(() => running.delete(attempt));
            running.add(attempt);
            return attempt;
        },
        peerHandler: { claimStatus: claims.statusOf, commit: router.commitLocally },
        dump: () => ({
            claims: claims.countByStatus(),
            pendingOperations: router.pendingCounts(),
            unrecordedEnds: recorder.unrecordedCount(),
        }),
        [Symbol.asyncDispose]: async () => {
            await withTimeout(Promise.all(running), options.timing.stopTimeoutMs, options.clock);
            await recorder[Symbol.asyncDispose]();
            await router[Symbol.asyncDispose]();
        },
    };
};
