import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { listEligibleUpstreams } from "./listEligibleUpstreams";
import type { SelectionRequest } from "./selectionRequest";

/** Returns the engines that can run a request; those without a recent load report only when there are no others. */
export const listEligibleEngines = (
    state: RoutingState,
    request: SelectionRequest,
    nowMs: number,
): readonly UpstreamState[] => {
    const { service, model, modelVersion, adapter, excluded } = request;
    const canRun = ({ report }: UpstreamState): boolean => {
        const version = report?.modelVersions[model];
        return report === undefined
            || version !== undefined
                && (modelVersion === undefined || version === modelVersion)
                && (adapter === undefined || report.adapters.includes(adapter));
    };
    const engines = listEligibleUpstreams(state, service, excluded, canRun, nowMs);
    const reporting = engines.filter(({ report, measuredAtMs }) =>
        report !== undefined && nowMs - measuredAtMs < state.options.reportExpiryMs
    );
    return reporting.length > 0 ? reporting : engines;
};
