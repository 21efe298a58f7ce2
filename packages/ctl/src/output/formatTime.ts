/** Formats a wall-clock time for people. */
export const formatTime = (timeMs: number): string => new Date(timeMs).toISOString();
