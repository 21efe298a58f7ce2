import type { UpstreamId } from "@ibislanding/core";
import type { UpstreamReachability } from "./upstreamReachability";

/** Time without any byte of any upstream while a send waits, after which the upstreams are probed. */
const SILENCE_MS = 500;

/**
 * Minimum time from one check to the next one that is due to silence, which is normal at a host with few requests and long
 * prompts: a check opens connections.
 */
const SILENCE_CHECK_INTERVAL_MS = 1_000;

/** Minimum time between checks after failures: a check that just succeeded answers later suspicions too. */
const FAILURE_CHECK_INTERVAL_MS = 300;

/** Time between checks while no upstream is reached; callers wait for the end of the cut. */
const RECOVERY_INTERVAL_MS = 250;

/**
 * Longest duration of a check that counts. Checks end after 400 ms; a longer one shows that this process was stalled, so
 * that its timers ran before the connections that had been opened in time.
 */
const MAXIMUM_CHECK_MS = 700;

/** Number of failed upstreams that are remembered, so that replaced upstreams do not accumulate. */
const REMEMBERED_FAILURES = 1_000;

/**
 * Creates the decision with all upstreams presumed reachable; `nowMs` is monotonic.
 *
 * Handles a host that is cut off from the upstreams of all zones, where connections are refused or hang and kept-alive ones
 * hang after a send: Node.js sets no TCP_USER_TIMEOUT, so that such a send fails only at the request's deadline. The host is
 * cut off if no probe of a check succeeds. A few upstreams that are down, a lost packet, an idle host and a process that was
 * stalled don't lead to it. Only new connections show that upstreams are reached, as old ones may outlive the cut.
 */
export const createUpstreamReachability = (nowMs: () => number): UpstreamReachability => {
    const failedAtMs = new Map<UpstreamId, number>();
    /** Upstreams of which bytes have arrived since none is reached. */
    const progressedUpstreams = new Set<UpstreamId>();
    let connectedAtMs = -Infinity;
    let anyFailureAtMs = -Infinity;
    let anyProgressAtMs = -Infinity;
    let checkedAtMs = -Infinity;
    let unreachableSinceMs: number | undefined;

    const setReachable = (isReachable: boolean): boolean => {
        const hasChanged = isReachable === (unreachableSinceMs !== undefined);
        if (hasChanged) {
            unreachableSinceMs = isReachable ? undefined : nowMs();
            progressedUpstreams.clear();
        }
        return hasChanged;
    };

    const recordConnection = (): boolean => {
        connectedAtMs = nowMs();
        return setReachable(true);
    };

    const recordFailure = (upstreamId: UpstreamId): void => {
        anyFailureAtMs = nowMs();
        failedAtMs.delete(upstreamId);
        failedAtMs.set(upstreamId, anyFailureAtMs);
        const [oldest] = failedAtMs.keys();
        if (failedAtMs.size > REMEMBERED_FAILURES && oldest !== undefined) {
            failedAtMs.delete(oldest);
        }
    };

    return {
        recordConnection,
        recordFailure,
        recordProgress: upstreamId => {
            anyProgressAtMs = nowMs();
            if (unreachableSinceMs !== undefined) {
                progressedUpstreams.add(upstreamId);
            }
        },
        isCheckDue: waitingSinceMs => {
            const sinceCheckMs = nowMs() - checkedAtMs;
            if (unreachableSinceMs !== undefined) {
                return sinceCheckMs >= RECOVERY_INTERVAL_MS;
            }
            const contactAtMs = Math.max(connectedAtMs, anyProgressAtMs);
            const isSilent = waitingSinceMs !== undefined
                && nowMs() - Math.max(waitingSinceMs, contactAtMs) >= SILENCE_MS;
            return isSilent && sinceCheckMs >= SILENCE_CHECK_INTERVAL_MS
                || anyFailureAtMs > connectedAtMs && sinceCheckMs >= FAILURE_CHECK_INTERVAL_MS;
        },
        recordCheck: ({ startedAtMs, probes }) => {
            const isStalled = nowMs() - startedAtMs > MAXIMUM_CHECK_MS;
            checkedAtMs = isStalled ? -Infinity : nowMs();
            probes.filter(({ isListening }) => !isListening).forEach(({ upstreamId }) => recordFailure(upstreamId));
            if (probes.some(({ isListening }) => isListening)) {
                return recordConnection();
            }
            return probes.length > 0 && !isStalled && connectedAtMs < startedAtMs && setReachable(false);
        },
        reachesUpstreams: () => unreachableSinceMs === undefined,
        isHung: ({ upstreamId, silentForMs, patienceMs }) =>
            unreachableSinceMs !== undefined && silentForMs >= patienceMs && !progressedUpstreams.has(upstreamId),
        hasLiveConnections: () => unreachableSinceMs !== undefined && anyProgressAtMs >= unreachableSinceMs,
        lastConnectionAtMs: () => connectedAtMs,
        lastFailureAtMs: upstreamId => failedAtMs.get(upstreamId) ?? -Infinity,
    };
};
