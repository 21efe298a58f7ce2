/** Formats a wall-clock time as ISO 8601 in UTC. */
export const formatTime = (timeMs: number): string => new Date(timeMs).toISOString();
