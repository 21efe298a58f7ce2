/** Waits for a time. */
export const pause = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));
