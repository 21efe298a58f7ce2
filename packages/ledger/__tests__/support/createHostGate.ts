import { createDeferred, type Deferred } from "@ibislanding/core";

/** Stops the code of a host at its await points, for a while or for good. */
export const createHostGate = () => {
    let crashed = false;
    let paused: Deferred<void> | undefined;
    return {
        waitUntilRunning: async (): Promise<void> => {
            while (crashed || paused !== undefined) {
                await (crashed ? new Promise<never>(() => undefined) : paused?.promise);
            }
        },
        crash: (): void => {
            crashed = true;
        },
        pause: (): void => {
            paused ??= createDeferred<void>();
        },
        resume: (): void => {
            paused?.resolve();
            paused = undefined;
        },
        isCrashed: (): boolean => crashed,
    };
};
