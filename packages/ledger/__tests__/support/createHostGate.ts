import { createDeferred, type Deferred } from "@ibislanding/core";

/** Stops the code of a host at its await points, for a while or for good. */
export const createGate = () => {
    let crashed = false;
    let paused: Deferred<void> | undefined;
    return {
        pass: async (): Promise<void> => {
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
