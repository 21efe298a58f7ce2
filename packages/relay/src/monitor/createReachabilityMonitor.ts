import type { Timer, UpstreamId } from "@ibislanding/core";
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
    readonly abandon: () => void;
    readonly startedAtMs: number;
    progressedAtMs: number | undefined;
}

/** Starts with all upstreams presumed reachable; has no timer while no send waits and upstreams are reached. */
export const createReachabilityMonitor = (
    { clock, random, targets, probe, onChange }: ReachabilityMonitorOptions,
): ReachabilityMonitor => {
    const reachability = createUpstreamReachability(clock.monotonicMs);
    const waiting = new Set<WaitingSend>();
    let check: Promise<void> | undefined;
    let isTicking = false;
    let isDisposed = false;

    const reportChange = (hasChanged: boolean): void => {
        if (hasChanged && !isDisposed) {
            onChange(reachability.reachesUpstreams());
            scheduleTick();
        }
    };

    /** The upstreams to probe; equal ones are in random order, so that hosts do not all probe the same one first. */
    const chooseTargets = (except?: UpstreamId): readonly ProbeTarget[] => {
        const all = targets().filter(({ upstreamId }) => upstreamId !== except);
        const offset = all.length === 0 ? 0 : random.nextInt(all.length);
        return selectProbeTargets([...all.slice(offset), ...all.slice(0, offset)], reachability.lastFailureAtMs);
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
            const finish = (): void => {
                timer?.cancel();
                areOthersStarted = true;
                const started = [...ended.values()].includes(true)
                    ? selected.filter(({ upstreamId }) => ended.has(upstreamId))
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
            timer = clock.setTimer(FIRST_PROBE_MS, startOthers);
            start(first);
        });

    const runCheck = async (): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const probes = await probeInTurn(chooseTargets());
        check = undefined;
        reportChange(reachability.recordCheck({ startedAtMs, probes }));
    };

    const checkIfDue = (): void => {
        const silent = [...waiting].filter(({ progressedAtMs }) => progressedAtMs === undefined);
        const waitingSinceMs = silent.length === 0
            ? undefined
            : Math.min(...silent.map(({ startedAtMs }) => startedAtMs));
        if (check === undefined && !isDisposed && reachability.isCheckDue(waitingSinceMs)) {
            check = runCheck();
        }
    };

    const abandonHungSends = (): void => {
        const nowMs = clock.monotonicMs();
        [...waiting]
            .filter(({ upstreamId, patienceMs, startedAtMs, progressedAtMs }) =>
                reachability.isHung({ upstreamId, patienceMs, silentForMs: nowMs - (progressedAtMs ?? startedAtMs) })
            )
            .forEach(({ abandon }) => abandon());
    };

    const scheduleTick = (): void => {
        if (isTicking || isDisposed || waiting.size === 0 && reachability.reachesUpstreams()) {
            return;
        }
        isTicking = true;
        clock.setTimer(TICK_MS, () => {
            isTicking = false;
            checkIfDue();
            abandonHungSends();
            scheduleTick();
        });
    };

    return {
        reachesUpstreams: reachability.reachesUpstreams,
        hasLiveConnections: reachability.hasLiveConnections,
        recordConnection: () => reportChange(reachability.recordConnection()),
        recordFailure: upstreamId => {
            reachability.recordFailure(upstreamId);
            checkIfDue();
        },
        watchSend: ({ upstreamId, objectiveMs, remainingMs, signal }) => {
            const controller = new AbortController();
            const onAbort = (): void => controller.abort(signal.reason);
            const send: WaitingSend = {
                upstreamId,
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
