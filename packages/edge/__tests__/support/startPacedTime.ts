/** Time by which timers advance in each step; shorter than all times that hosts measure, apart from round trips. */
const STEP_MS = 5;

/**
 * Replaces the timers and clocks of this process by ones that advance at most `STEP_MS` in a turn of the event loop, and not
 * faster than real time. A turn that lasts longer, because other processes use the processors or because all hosts of a test
 * share one event loop, then delays a test instead of the messages between its hosts.
 */
export const startPacedTime = (): AsyncDisposable => {
    const setRealTimeout = setTimeout;
    let isStopped = false;
    jest.useFakeTimers({ doNotFake: ["nextTick", "queueMicrotask", "setImmediate", "clearImmediate"] });

    const run = async (): Promise<void> => {
        while (!isStopped) {
            await new Promise<void>(resolve => void setRealTimeout(resolve, STEP_MS));
            // Runs one timer in each turn, as Node.js runs what a timer has resolved before the next timer.
            await jest.advanceTimersByTimeAsync(STEP_MS);
        }
    };
    const running = run();
    return {
        [Symbol.asyncDispose]: async () => {
            isStopped = true;
            await running;
            jest.useRealTimers();
        },
    };
};
