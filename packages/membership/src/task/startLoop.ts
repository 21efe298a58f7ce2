import type { Clock } from "@ibislanding/core";
import type { Loop } from "./loop";

/** Delay after a failed step. */
const RETRY_DELAY_MS = 2_000;

/** Runs a step immediately, then repeatedly after the delay in milliseconds that the previous run returned. */
export const startLoop = (clock: Clock, step: () => Promise<number>, onError: (error: unknown) => void): Loop => {
    const stopController = new AbortController();
    const runStep = (): Promise<number> =>
        step().catch((error: unknown) => {
            onError(error);
            return RETRY_DELAY_MS;
        });
    const run = async (): Promise<void> => {
        while (!stopController.signal.aborted) {
            await clock.sleep(await runStep(), stopController.signal);
        }
    };
    run().catch(onError);
    return { stop: () => stopController.abort() };
};
