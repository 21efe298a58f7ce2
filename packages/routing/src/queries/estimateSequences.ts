import type { UpstreamState } from "../state/upstreamState";

/**
 * Estimates the sequences that an upstream has, queued ones included: those of its report, corrected by what this entry
 * host started and saw finish since the report was measured, and by what the other entry hosts did since if each of them
 * starts and finishes as many a second as this one.
 */
export const estimateSequences = (upstream: UpstreamState, entryHosts: number, nowMs: number): number => {
    const { report, measuredAtMs } = upstream;
    if (report === undefined) {
        return upstream.inFlight.size;
    }
    const started = [...upstream.inFlight.values()].filter(request => request.startedAtMs >= measuredAtMs).length;
    const finished = upstream.finishedSinceReport.filter(request => request.startedAtMs < measuredAtMs).length;
    const otherHostsSequencesPerMs = (upstream.startRate.perMs(nowMs) - upstream.finishRate.perMs(nowMs))
        * (entryHosts - 1);
    const reported = report.runningSequences + report.queuedSequences;
    return Math.max(
        upstream.inFlight.size,
        reported + started - finished + otherHostsSequencesPerMs * (nowMs - measuredAtMs),
    );
};
