import type { ControlGroup } from "./controlGroup";

/** Creates the group of a process that knows no others. */
export const createSoleGroup = (hostId: string): ControlGroup => {
    const deadlinesMs = new Map<string, number>();
    return {
        controlHosts: () => [hostId],
        announceLeaving: (upstreamId, deadlineMs) => {
            if (deadlineMs !== undefined) {
                deadlinesMs.set(upstreamId, deadlineMs);
            }
        },
        reclaimDeadlinesMs: () => deadlinesMs,
        setConfigurationRevision: () => undefined,
        leave: async () => undefined,
        stateDump: () => ({}),
        [Symbol.asyncDispose]: async () => undefined,
    };
};
