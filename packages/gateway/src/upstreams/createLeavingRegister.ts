import type { Clock, UpstreamId } from "@ibislanding/core";
import type { LeavingRegister } from "./leavingRegister";

/** Time after which a notice is dropped, counted from its last use: a leaving upstream has long terminated by then. */
const RETENTION_MS = 600_000;

/**
 * Creates a register without notices.
 *
 * Handles a registry that was restored from a copy and lists a leaving upstream as ready again, and an upstream that
 * states in its responses that it is leaving before the registry does.
 */
export const createLeavingRegister = (clock: Clock): LeavingRegister => {
    const notices = new Map<UpstreamId, { readonly startedAtMs: number; usedAtMs: number; }>();

    const removeExpired = (): void => {
        const oldestMs = clock.monotonicMs() - RETENTION_MS;
        [...notices].filter(([, { usedAtMs }]) => usedAtMs < oldestMs).forEach(([id]) => notices.delete(id));
    };

    return {
        add: ({ upstreamId, startedAtMs }) => {
            removeExpired();
            const known = notices.get(upstreamId);
            if (known !== undefined && known.startedAtMs >= startedAtMs) {
                known.usedAtMs = clock.monotonicMs();
                return false;
            }
            notices.set(upstreamId, { startedAtMs, usedAtMs: clock.monotonicMs() });
            return true;
        },
        has: ({ upstreamId, startedAtMs }) => {
            const known = notices.get(upstreamId);
            if (known?.startedAtMs !== startedAtMs) {
                return false;
            }
            known.usedAtMs = clock.monotonicMs();
            return true;
        },
        entries: () => [...notices].map(([upstreamId, { startedAtMs }]) => [upstreamId, startedAtMs] as const),
    };
};
