import type { UpstreamState } from "../state/upstreamState";

/**
 * Estimates the number of running and queued sequences at an upstream: the reported number, corrected by the requests
 * that this entry host started and finished since the measurement, and by those of the other entry hosts, each of which
 * is assumed to start and finish requests at the same rate as this one.
 */
export const estimateSequences = (upstream: UpstreamState, entryHosts: number, nowMs: number): number => {
    const { report, measuredAtMs } = upstream;
    if (report === undefined) {
        return upstream.inFlight.size;
    }
    const started = [...upstream.inFlight.values()].filter(request => request.startedAtMs >= measuredAtMs).length;
    const finished = upstream.finishedSinceReport.filter(request => request.startedAtMs < measuredAtMs).length;
    const otherHostsSequencesPerMs = (upstream.startRate.ratePerMs(nowMs) - upstream.finishRate.ratePerMs(nowMs))
        * (entryHosts - 1);
    const reported = report.runningSequences + report.queuedSequences;
    return Math.max(
        upstream.inFlight.size,
        reported + started - finished + otherHostsSequencesPerMs * (nowMs - measuredAtMs),
    );
};
