import { type Clock, createTask, type Timer } from "@ibislanding/core";
import type { PeriodicTask } from "./periodicTask";

interface PeriodicTaskOptions {
    readonly clock: Clock;
    readonly intervalMs: number;
    readonly run: () => Promise<void>;
    readonly onError: (error: unknown) => void;
}

/** Starts a periodic task, with its first run at once; disposing of it waits for the current run to finish. */
export const createPeriodicTask = (options: PeriodicTaskOptions): PeriodicTask => {
    let timer: Timer | undefined;
    let disposed = false;

    const task = createTask<"run">({
        handle: async () => {
            timer?.cancel();
            try {
                await options.run();
            }
            finally {
                schedule();
            }
        },
        onError: options.onError,
    });

    const trigger = (): void => {
        if (task.queueLength() === 0) {
            task.post("run");
        }
    };

    const schedule = (): void => {
        timer?.cancel();
        timer = disposed ? undefined : options.clock.setTimer(options.intervalMs, trigger);
    };

    trigger();
    return {
        trigger,
        [Symbol.asyncDispose]: async () => {
            disposed = true;
            timer?.cancel();
            await task[Symbol.asyncDispose]();
            timer?.cancel();
        },
    };
};
