import type { UpstreamId } from "@ibislanding/core";
import { createUpstreamReachability } from "../decisions/createUpstreamReachability";
import type { ProbeTarget } from "../decisions/probeTarget";
import { selectProbeTargets } from "../decisions/selectProbeTargets";
import { sendPatienceMs } from "../decisions/sendPatienceMs";
import type { ReachabilityMonitor } from "./reachabilityMonitor";
import type { ReachabilityMonitorOptions } from "./reachabilityMonitorOptions";

/** Interval at which waiting sends are examined. */
const TICK_MS = 100;

interface WaitingSend {
    readonly upstreamId: UpstreamId;
    readonly patienceMs: number;
    readonly abandon: () => void;
    readonly startedAtMs: number;
    progressedAtMs: number | undefined;
}

/** Starts with all upstreams presumed reachable; has no timer while no send waits and upstreams are reached. */
export const createReachabilityMonitor = (
    { clock, targets, probe, onChange }: ReachabilityMonitorOptions,
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

    /** Probes upstreams; resolves early with the first one that listens. */
    const probeAll = (selected: readonly ProbeTarget[]) =>
        new Promise<readonly { readonly upstreamId: UpstreamId; readonly isListening: boolean; }[]>(resolve => {
            const ended: { readonly upstreamId: UpstreamId; readonly isListening: boolean; }[] = [];
            if (selected.length === 0) {
                resolve([]);
            }
            selected.forEach(({ upstreamId, address }) =>
                void probe(address).then(result => {
                    const isListening = result === "listening";
                    ended.push({ upstreamId, isListening });
                    if (isListening || ended.length === selected.length) {
                        resolve([...ended]);
                    }
                })
            );
        });

    const runCheck = async (): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const probes = await probeAll(selectProbeTargets(targets(), reachability.lastFailureAtMs));
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
            const others = targets().filter(({ upstreamId }) => upstreamId !== except);
            const startedAtMs = clock.monotonicMs();
            const probes = await probeAll(selectProbeTargets(others, reachability.lastFailureAtMs));
            reportChange(reachability.recordCheck({ startedAtMs, probes }));
            return probes.some(({ isListening }) => isListening);
        },
        [Symbol.asyncDispose]: async () => {
            isDisposed = true;
            await check;
        },
    };
};
