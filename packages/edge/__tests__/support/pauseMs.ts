/** Waits by the global timers, which `startPacedTime` replaces. */
export const pauseMs = (durationMs: number): Promise<void> =>
    new Promise(resolve => void setTimeout(resolve, durationMs));
