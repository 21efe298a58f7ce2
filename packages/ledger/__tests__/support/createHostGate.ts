import { createDeferred, type Deferred } from "@ibislanding/core";

/** Simulates pauses and a crash of a host by blocking its code at await points. */
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
