import type { Timer, UpstreamId } from "@ibislanding/core";
import { createSilentUpstreams } from "../decisions/createSilentUpstreams";
import { createUpstreamReachability } from "../decisions/createUpstreamReachability";
import type { ProbeTarget } from "../decisions/probeTarget";
import { selectProbeTargets } from "../decisions/selectProbeTargets";
import { sendPatienceMs } from "../decisions/sendPatienceMs";
import type { ReachabilityMonitor } from "./reachabilityMonitor";
import type { ReachabilityMonitorOptions } from "./reachabilityMonitorOptions";

/** Interval at which waiting sends are examined. */
const TICK_MS = 100;

/** Time after which the other upstreams are probed if the first one has not accepted the connection. */
const FIRST_PROBE_MS = 200;

/** Time that the other probes have; it covers a round trip between regions, and cuts are noticed within a second. */
const OTHER_PROBES_MS = 200;

interface ProbeEnd {
    readonly upstreamId: UpstreamId;
    readonly isListening: boolean;
}

interface WaitingSend {
    readonly upstreamId: UpstreamId;
    readonly patienceMs: number;
    readonly mayRepeat: boolean;
    readonly abandon: () => void;
    readonly startedAtMs: number;
    progressedAtMs: number | undefined;
}

/** Starts with all upstreams presumed reachable; has no timer while no send waits and upstreams are reached. */
export const createReachabilityMonitor = (
    { clock, random, targets, probe, onChange }: ReachabilityMonitorOptions,
): ReachabilityMonitor => {
    const reachability = createUpstreamReachability(clock.monotonicMs);
    const silentUpstreams = createSilentUpstreams(clock.monotonicMs);
    const waiting = new Set<WaitingSend>();
    const probing = new Set<UpstreamId>();
    let check: Promise<void> | undefined;
    let isTicking = false;
    let isDisposed = false;

    const reportChange = (hasChanged: boolean): void => {
        if (hasChanged && !isDisposed) {
            onChange(reachability.reachesUpstreams());
            scheduleTick();
        }
    };

    /**
     * The upstreams to probe, if possible the given one first; equal ones are in random order, so that hosts do not all probe the
     * same one first.
     */
    const chooseTargets = (except?: UpstreamId, firstId?: UpstreamId): readonly ProbeTarget[] => {
        const all = targets().filter(({ upstreamId }) => upstreamId !== except);
        const offset = all.length === 0 ? 0 : random.nextInt(all.length);
        const selected = selectProbeTargets(
            [...all.slice(offset), ...all.slice(0, offset)],
            reachability.lastFailureAtMs,
        );
        const first = all.find(({ upstreamId }) => upstreamId === firstId);
        return first === undefined ? selected : [first, ...selected.filter(target => target !== first)];
    };

    /**
     * Probes the first upstream, and the others only if it does not accept the connection; resolves early with the first one
     * that does. The others have their full time also if the process was stalled during the first probe.
     */
    const probeInTurn = (selected: readonly ProbeTarget[]): Promise<readonly ProbeEnd[]> =>
        new Promise(resolve => {
            const ended = new Map<UpstreamId, boolean>();
            const [first, ...others] = selected;
            let timer: Timer | undefined;
            let areOthersStarted = false;
            let isFirstOverdue = false;
            const finish = (): void => {
                timer?.cancel();
                areOthersStarted = true;
                const started = [...ended.values()].includes(true)
                    ? selected.filter((target, index) => ended.has(target.upstreamId) || index === 0 && isFirstOverdue)
                    : selected;
                resolve(started.map(({ upstreamId }) => ({ upstreamId, isListening: ended.get(upstreamId) === true })));
            };
            const start = ({ upstreamId, address }: ProbeTarget): void =>
                void probe(address).then(result => {
                    ended.set(upstreamId, result === "listening");
                    if (result === "listening" || ended.size === selected.length) {
                        finish();
                        return;
                    }
                    startOthers();
                });
            const startOthers = (): void => {
                if (!areOthersStarted) {
                    areOthersStarted = true;
                    timer?.cancel();
                    timer = clock.setTimer(OTHER_PROBES_MS, finish);
                    others.forEach(start);
                }
            };
            if (first === undefined) {
                resolve([]);
                return;
            }
            timer = clock.setTimer(FIRST_PROBE_MS, () => {
                isFirstOverdue = true;
                startOthers();
            });
            start(first);
        });

    const runCheck = async (firstId?: UpstreamId): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const probes = await probeInTurn(chooseTargets(undefined, firstId));
        check = undefined;
        reportChange(reachability.recordCheck({ startedAtMs, probes }));
        if (firstId !== undefined && reachability.isUnreached(firstId)) {
            probeSuspects();
        }
    };

    const checkIfDue = (): void => {
        const silent = [...waiting].filter(({ progressedAtMs }) => progressedAtMs === undefined);
        const waitingSinceMs = silent.length === 0
            ? undefined
            : Math.min(...silent.map(({ startedAtMs }) => startedAtMs));
        const overdueId = silent.find(reachability.isOverdue)?.upstreamId;
        if (check === undefined && !isDisposed && reachability.isCheckDue(waitingSinceMs, overdueId)) {
            check = runCheck(overdueId);
        }
    };

    const probeOne = async ({ upstreamId, address }: ProbeTarget): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        probing.add(upstreamId);
        const result = await Promise.race([probe(address), clock.sleep(OTHER_PROBES_MS)]);
        probing.delete(upstreamId);
        reportChange(
            reachability.recordProbe({ upstreamId, startedAtMs, isListening: result === "listening" }),
        );
    };

    /** Probes the upstreams of waiting sends: the links to several upstreams may have been lost together. */
    const probeSuspects = (): void => {
        const suspects = new Set([...waiting].filter(reachability.isSuspect).map(({ upstreamId }) => upstreamId));
        if (suspects.size > 0 && reachability.reachesUpstreams() && !isDisposed) {
            targets()
                .filter(({ upstreamId }) => suspects.has(upstreamId) && !probing.has(upstreamId))
                .forEach(target => void probeOne(target));
        }
    };

    const reprobeIfDue = (): void => {
        // Otherwise the checks find out which upstreams are reached again.
        if (!reachability.reachesUpstreams() || !reachability.hasUnreached() || isDisposed) {
            return;
        }
        const registered = targets();
        const due = new Set(reachability.selectReprobed(registered.map(({ upstreamId }) => upstreamId)));
        registered
            .filter(({ upstreamId }) => due.has(upstreamId) && !probing.has(upstreamId))
            .forEach(target => void probeOne(target));
    };

    /** Whether the upstream of a send answers nothing, although it may accept connections. */
    const isUnanswered = ({ upstreamId, mayRepeat, startedAtMs, progressedAtMs, patienceMs }: WaitingSend): boolean =>
        mayRepeat && progressedAtMs === undefined && silentUpstreams.isAvoided(upstreamId)
        && clock.monotonicMs() - startedAtMs >= patienceMs;

    const isHung = ({ startedAtMs, progressedAtMs, ...send }: WaitingSend): boolean =>
        reachability.isHung({ ...send, silentForMs: clock.monotonicMs() - (progressedAtMs ?? startedAtMs) });

    const abandonHungSends = (): void => {
        [...waiting].filter(({ progressedAtMs }) => progressedAtMs === undefined).forEach(silentUpstreams.examineSend);
        [...waiting].filter(send => isHung(send) || isUnanswered(send)).forEach(({ abandon }) => abandon());
    };

    const scheduleTick = (): void => {
        const isIdle = waiting.size === 0 && reachability.reachesUpstreams() && !reachability.hasUnreached();
        if (isTicking || isDisposed || isIdle) {
            return;
        }
        isTicking = true;
        clock.setTimer(TICK_MS, () => {
            isTicking = false;
            checkIfDue();
            reprobeIfDue();
            abandonHungSends();
            scheduleTick();
        });
    };

    return {
        reachesUpstreams: reachability.reachesUpstreams,
        hasLiveConnections: reachability.hasLiveConnections,
        isUnreached: upstreamId => reachability.isUnreached(upstreamId) || silentUpstreams.isAvoided(upstreamId),
        unreachedShare: () => {
            const registered = targets();
            const unreached = registered.filter(({ upstreamId }) => reachability.isUnreached(upstreamId));
            return registered.length === 0 ? 0 : unreached.length / registered.length;
        },
        recordConnection: upstreamId => reportChange(reachability.recordConnection(upstreamId)),
        recordFailure: upstreamId => {
            reachability.recordFailure(upstreamId);
            checkIfDue();
        },
        recordUnreachable: upstreamId => {
            const isNew = reachability.recordUnreachable(upstreamId);
            checkIfDue();
            if (isNew) {
                probeSuspects();
            }
            scheduleTick();
        },
        startCheck: () => {
            if (check === undefined && !isDisposed) {
                check = runCheck();
            }
        },
        watchSend: ({ upstreamId, mayRepeat, objectiveMs, remainingMs, signal }) => {
            const controller = new AbortController();
            const onAbort = (): void => controller.abort(signal.reason);
            const send: WaitingSend = {
                upstreamId,
                mayRepeat,
                patienceMs: sendPatienceMs(objectiveMs, remainingMs),
                abandon: () => controller.abort("no-contact"),
                startedAtMs: clock.monotonicMs(),
                progressedAtMs: undefined,
            };
            signal.addEventListener("abort", onAbort, { once: true });
            if (signal.aborted) {
                onAbort();
            }
            waiting.add(send);
            scheduleTick();
            return {
                signal: controller.signal,
                recordProgress: () => {
                    send.progressedAtMs = clock.monotonicMs();
                    reachability.recordProgress(upstreamId);
                    silentUpstreams.recordAnswer(upstreamId);
                },
                end: () => {
                    waiting.delete(send);
                    signal.removeEventListener("abort", onAbort);
                },
            };
        },
        checked: () => check ?? Promise.resolve(),
        confirmReach: async (sinceMs, except) => {
            if (reachability.lastConnectionAtMs() > sinceMs) {
                return true;
            }
            const startedAtMs = clock.monotonicMs();
            const probes = await probeInTurn(chooseTargets(except));
            reportChange(reachability.recordCheck({ startedAtMs, probes }));
            return probes.some(({ isListening }) => isListening);
        },
        [Symbol.asyncDispose]: async () => {
            isDisposed = true;
            await check;
        },
    };
};
