import type { UpstreamState } from "../state/upstreamState";

/**
 * Estimates the sequences that an upstream has, queued ones included: those of its report, corrected by what this entry
 * host sent and saw finish since the report was measured. `entryHosts` scales the correction to all entry hosts.
 */
export const estimateSequences = (upstream: UpstreamState, entryHosts: number): number => {
    const { report, measuredAtMs } = upstream;
    if (report === undefined) {
        return upstream.inFlight.size * entryHosts;
    }
    const started = [...upstream.inFlight.values()].filter(request => request.startedAtMs >= measuredAtMs).length;
    const finished = upstream.finishedSince.filter(request => request.startedAtMs < measuredAtMs).length;
    const reported = report.runningSequences + report.queuedSequences;
    return Math.max(upstream.inFlight.size, reported + (started - finished) * entryHosts);
};
