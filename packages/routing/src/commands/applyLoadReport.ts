import type { LoadReport } from "../model/loadReport";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { adjustBacklog } from "./adjustBacklog";

/** Takes over a load report and adds to it what this entry host sent after it was measured. */
export const applyLoadReport = (
    state: RoutingState,
    upstream: UpstreamState,
    report: LoadReport,
    measuredAtMs: number,
): void => {
    if (upstream.report !== undefined && measuredAtMs < upstream.measuredAtMs) {
        return;
    }
    upstream.report = report;
    upstream.measuredAtMs = measuredAtMs;
    upstream.leaving ||= report.leaving;
    upstream.finishedSinceReport = upstream.finishedSinceReport.filter(({ finishedAtMs }) =>
        finishedAtMs >= measuredAtMs
    );
    upstream.backlogTokens = report.queuedPromptTokens;
    upstream.backlogAtMs = measuredAtMs;
    [...upstream.inFlight.values()]
        .filter(({ startedAtMs }) => startedAtMs >= measuredAtMs)
        .forEach(request => adjustBacklog(state, upstream, request.uncachedTokens, request.startedAtMs));
};
