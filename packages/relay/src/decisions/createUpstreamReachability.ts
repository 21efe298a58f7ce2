import type { UpstreamId } from "@ibislanding/core";
import { setNewest } from "./setNewest";
import type { UpstreamReachability } from "./upstreamReachability";

/** Time without any byte of any upstream while a send waits, after which the upstreams are probed. */
const SILENCE_MS = 500;

/** The same for a single upstream, if the host has just lost its link to another one. */
const SUSPICION_MS = 200;

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

/** Time between probes of an upstream that is not reached while others are. */
const REPROBE_INTERVAL_MS = 1_000;

/**
 * Creates the decision with all upstreams presumed reachable; `nowMs` is monotonic.
 *
 * Handles a host that is cut off from the upstreams of all zones, where connections are refused or hang and kept-alive ones
 * hang after a send: Node.js sets no TCP_USER_TIMEOUT, so that such a send fails only at the request's deadline. The host is
 * cut off if no probe of a check succeeds. A few upstreams that are down, a lost packet, an idle host and a process that was
 * stalled don't lead to it. Only new connections show that upstreams are reached, as old ones may outlive the cut.
 *
 * Also handles a host that has lost its links to some of the upstreams: each to which no connection could be opened is unreached
 * until a probe of it succeeds.
 */
export const createUpstreamReachability = (nowMs: () => number): UpstreamReachability => {
    const failedAtMs = new Map<UpstreamId, number>();
    const contactAtMs = new Map<UpstreamId, number>();
    /** Upstreams to which no connection could be opened since the given time, and when that was last tried. */
    const unreached = new Map<UpstreamId, { readonly sinceMs: number; probedAtMs: number; }>();
    /** Upstreams of which bytes have arrived since none is reached. */
    const progressedUpstreams = new Set<UpstreamId>();
    let connectedAtMs = -Infinity;
    let anyFailureAtMs = -Infinity;
    /** When an upstream was last found to be unreached that had been presumed to be reached. */
    let lostAtMs = -Infinity;
    let anyProgressAtMs = -Infinity;
    let checkedAtMs = -Infinity;
    let unreachableSinceMs: number | undefined;

    const setReachable = (isReachable: boolean): boolean => {
        const hasChanged = isReachable === (unreachableSinceMs !== undefined);
        if (hasChanged) {
            unreachableSinceMs = isReachable ? undefined : nowMs();
            progressedUpstreams.clear();
        }
        if (hasChanged && isReachable) {
            // What was not reached until now is tried again at once.
            unreached.forEach(state => {
                state.probedAtMs = -Infinity;
            });
        }
        return hasChanged;
    };

    const recordConnection = (upstreamId: UpstreamId): boolean => {
        connectedAtMs = nowMs();
        setNewest(contactAtMs, upstreamId, connectedAtMs);
        unreached.delete(upstreamId);
        return setReachable(true);
    };

    const recordFailure = (upstreamId: UpstreamId): void => {
        anyFailureAtMs = nowMs();
        setNewest(failedAtMs, upstreamId, anyFailureAtMs);
    };

    const recordUnreachable = (upstreamId: UpstreamId): boolean => {
        const known = unreached.get(upstreamId);
        recordFailure(upstreamId);
        unreached.set(upstreamId, { sinceMs: known?.sinceMs ?? nowMs(), probedAtMs: nowMs() });
        lostAtMs = known === undefined ? nowMs() : lostAtMs;
        return known === undefined;
    };

    const lastContactAtMs = (upstreamId: UpstreamId): number => contactAtMs.get(upstreamId) ?? -Infinity;

    return {
        recordConnection,
        recordFailure,
        recordUnreachable,
        recordProgress: upstreamId => {
            anyProgressAtMs = nowMs();
            setNewest(contactAtMs, upstreamId, anyProgressAtMs);
            if (unreachableSinceMs !== undefined) {
                progressedUpstreams.add(upstreamId);
            }
        },
        isCheckDue: (waitingSinceMs, overdueId) => {
            const sinceCheckMs = nowMs() - checkedAtMs;
            if (unreachableSinceMs !== undefined) {
                return sinceCheckMs >= RECOVERY_INTERVAL_MS;
            }
            const contactAtMs = Math.max(connectedAtMs, anyProgressAtMs);
            const isSilent = waitingSinceMs !== undefined
                && nowMs() - Math.max(waitingSinceMs, contactAtMs) >= SILENCE_MS;
            return (isSilent || overdueId !== undefined) && sinceCheckMs >= SILENCE_CHECK_INTERVAL_MS
                || anyFailureAtMs > connectedAtMs && sinceCheckMs >= FAILURE_CHECK_INTERVAL_MS
                // A cut may have begun just after the last check; each upstream leads to this once.
                || lostAtMs > Math.max(checkedAtMs, connectedAtMs);
        },
        isOverdue: ({ upstreamId, startedAtMs, patienceMs }) =>
            !unreached.has(upstreamId)
            && nowMs() - Math.max(startedAtMs, lastContactAtMs(upstreamId)) >= Math.max(SILENCE_MS, patienceMs),
        isSuspect: ({ upstreamId, startedAtMs }) =>
            !unreached.has(upstreamId)
            && nowMs() - Math.max(startedAtMs, lastContactAtMs(upstreamId)) >= SUSPICION_MS,
        isUnreached: upstreamId => unreached.has(upstreamId),
        hasUnreached: () => unreached.size > 0,
        selectReprobed: registered => {
            const known = new Set(registered);
            [...unreached.keys()].filter(id => !known.has(id)).forEach(id => unreached.delete(id));
            return [...unreached].flatMap(([id, { probedAtMs }]) =>
                nowMs() - probedAtMs >= REPROBE_INTERVAL_MS ? [id] : []
            );
        },
        recordProbe: ({ upstreamId, startedAtMs, isListening }) => {
            if (isListening) {
                return recordConnection(upstreamId);
            }
            const isOutdated = nowMs() - startedAtMs > MAXIMUM_CHECK_MS || lastContactAtMs(upstreamId) >= startedAtMs;
            if (!isOutdated) {
                recordUnreachable(upstreamId);
            }
            return false;
        },
        recordCheck: ({ startedAtMs, probes }) => {
            const isStalled = nowMs() - startedAtMs > MAXIMUM_CHECK_MS;
            checkedAtMs = isStalled ? -Infinity : nowMs();
            probes
                .filter(({ isListening }) => !isListening)
                .forEach(({ upstreamId }) => (isStalled ? recordFailure : recordUnreachable)(upstreamId));
            const listening = probes.filter(({ isListening }) => isListening);
            if (listening.length > 0) {
                return listening.map(({ upstreamId }) => recordConnection(upstreamId)).includes(true);
            }
            // Without any upstream, there is none that peers could reach instead.
            return probes.length === 0
                ? setReachable(true)
                : !isStalled && connectedAtMs < startedAtMs && setReachable(false);
        },
        reachesUpstreams: () => unreachableSinceMs === undefined,
        isHung: ({ upstreamId, mayRepeat, silentForMs, patienceMs }) => {
            const unreachedSinceMs = unreached.get(upstreamId)?.sinceMs;
            const isPathLost = unreachableSinceMs === undefined
                ? mayRepeat && unreachedSinceMs !== undefined && lastContactAtMs(upstreamId) < unreachedSinceMs
                : !progressedUpstreams.has(upstreamId);
            return isPathLost && silentForMs >= patienceMs;
        },
        hasLiveConnections: () => unreachableSinceMs !== undefined && anyProgressAtMs >= unreachableSinceMs,
        lastConnectionAtMs: () => connectedAtMs,
        lastFailureAtMs: upstreamId => failedAtMs.get(upstreamId) ?? -Infinity,
    };
};
