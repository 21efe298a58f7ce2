import type { EngineReport } from "../plan/engineReport";
import type { ObservedUpstream } from "../plan/observedUpstream";
import type { PlannedReplica } from "../plan/plannedReplica";
import type { ControlOrder } from "./controlOrder";
import type { OrderInput } from "./orderInput";
import { orderKey } from "./orderKey";

type LoadOrder = Extract<ControlOrder, { type: "load-model" | "load-adapter"; }>;

interface ServingReplica {
    readonly replica: PlannedReplica;
    readonly observed: ObservedUpstream;
}

const startOrders = ({ plan, operationIdOf }: OrderInput): readonly ControlOrder[] =>
    plan.replicas
        .filter(replica => replica.upstreamId === undefined)
        .map(({ incarnation, choice }) => ({
            type: "start-host",
            service: plan.service,
            incarnation,
            operationId: operationIdOf(plan.service, incarnation),
            choice,
        }));

const isIdle = (report: EngineReport | undefined): boolean =>
    report !== undefined && report.leaving && report.runningSequences + report.queuedSequences === 0;

const drainOrders = (
    replica: PlannedReplica,
    observed: ObservedUpstream | undefined,
    { plan, nowMs, policy }: OrderInput,
): readonly ControlOrder[] => {
    const { upstreamId, deadlineMs } = replica;
    if (upstreamId === undefined) {
        return [];
    }
    const drainingMs = nowMs - replica.changedAtMs;
    const isDrained = drainingMs >= policy.minimumDrainMs && isIdle(observed?.report);
    const isDue = observed === undefined || isDrained || drainingMs >= policy.drainTimeoutMs;
    const isServing = observed?.record.kind === "engine" && observed.report?.leaving === false;
    return [
        { type: "announce-leaving", upstreamId, deadlineMs },
        ...(isServing
            ? [{ type: "drain" as const, upstreamId, url: observed.record.url, generation: plan.generation }]
            : []),
        ...(isDue ? [{ type: "stop-host" as const, upstreamId }] : []),
    ];
};

const missingLoads = ({ observed: { record, report } }: ServingReplica, { plan }: OrderInput): readonly LoadOrder[] => {
    if (record.kind !== "engine" || report === undefined) {
        return [];
    }
    const target = { upstreamId: record.upstreamId, url: record.url, generation: plan.generation };
    const models = plan.models
        .filter(({ model, version }) => report.modelVersions[model] !== version)
        .map(({ model, version, artifact }): LoadOrder => ({
            type: "load-model",
            ...target,
            model,
            version,
            artifact,
        }));
    const adapters = plan.adapters
        .filter(({ adapter, model }) => report.modelVersions[model] !== undefined && !report.adapters.includes(adapter))
        .map(({ adapter, model, artifact }): LoadOrder => ({
            type: "load-adapter",
            ...target,
            adapter,
            model,
            artifact,
        }));
    return [...models, ...adapters];
};

const wasSentRecently = (order: ControlOrder, { sentAtMs, monotonicMs, policy }: OrderInput): boolean =>
    monotonicMs - (sentAtMs.get(orderKey(order)) ?? -Infinity) < policy.orderRetryIntervalMs;

/** Limits the number of concurrent loads; engines with the fewest loaded models, such as new ones, come first. */
const loadOrders = (pairs: readonly ServingReplica[], input: OrderInput): readonly ControlOrder[] => {
    const fewestModelsFirst = [...pairs].sort((left, right) =>
        Object.keys(left.observed.report?.modelVersions ?? {}).length
        - Object.keys(right.observed.report?.modelVersions ?? {}).length
    );
    const missing = fewestModelsFirst.flatMap(pair => missingLoads(pair, input));
    const runningCount = missing.filter(order => wasSentRecently(order, input)).length;
    const remainingLoads = input.monotonicMs < input.loadsNotBeforeMs
        ? 0
        : Math.max(0, input.policy.maximumConcurrentLoads - runningCount);
    return missing.filter(order => !wasSentRecently(order, input)).slice(0, remainingLoads);
};

const roleOrders = (
    { observed: { record, report } }: ServingReplica,
    { plan, role }: OrderInput,
): readonly ControlOrder[] =>
    role === undefined || report === undefined || report.role === role
        ? []
        : [{ type: "set-role", upstreamId: record.upstreamId, url: record.url, role, generation: plan.generation }];

/**
 * Derives the orders that move the observed state to the stored plan. Orders are idempotent and are repeated until
 * their effect is observed.
 */
export const planOrders = (input: OrderInput): readonly ControlOrder[] => {
    const byId = new Map(input.upstreams.map(observed => [observed.record.upstreamId, observed]));
    const observedOf = ({ upstreamId }: PlannedReplica): ObservedUpstream | undefined =>
        upstreamId === undefined ? undefined : byId.get(upstreamId);
    const serving = input.plan.replicas
        .filter(replica => replica.phase !== "draining")
        .flatMap((replica): readonly ServingReplica[] => {
            const observed = observedOf(replica);
            return observed === undefined ? [] : [{ replica, observed }];
        });
    const draining = input.plan.replicas.filter(replica => replica.phase === "draining");
    return [
        ...draining.flatMap(replica => drainOrders(replica, observedOf(replica), input)),
        ...startOrders(input),
        ...serving.flatMap(pair => roleOrders(pair, input)),
    ].filter(order => !wasSentRecently(order, input)).concat(loadOrders(serving, input));
};
