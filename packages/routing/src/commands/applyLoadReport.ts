import type { LoadReport } from "../model/loadReport";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { adjustBacklog } from "./adjustBacklog";

/** Applies a load report unless a newer one is known, and adds the requests that were sent after its measurement. */
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
