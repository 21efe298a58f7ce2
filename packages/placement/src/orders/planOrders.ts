import type { EngineReport } from "../plan/engineReport";
import type { ObservedUpstream } from "../plan/observedUpstream";
import type { PlannedReplica } from "../plan/plannedReplica";
import type { ControlEffect } from "./controlEffect";
import { effectKey } from "./effectKey";
import type { OrderInput } from "./orderInput";

type LoadEffect = Extract<ControlEffect, { type: "load-model" | "load-adapter"; }>;

interface Pair {
    readonly replica: PlannedReplica;
    readonly observed: ObservedUpstream;
}

const startOrders = ({ plan, operationIdOf }: OrderInput): readonly ControlEffect[] =>
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
): readonly ControlEffect[] => {
    const { upstreamId, deadlineMs } = replica;
    if (upstreamId === undefined) {
        return [];
    }
    const drainingMs = nowMs - replica.changedAtMs;
    const idle = drainingMs >= policy.minimumDrainMs && isIdle(observed?.report);
    const stop = observed === undefined || idle || drainingMs >= policy.drainTimeoutMs;
    const isServing = observed?.record.kind === "engine" && observed.report?.leaving === false;
    return [
        { type: "announce-leaving", upstreamId, deadlineMs },
        ...(isServing
            ? [{ type: "drain" as const, upstreamId, url: observed.record.url, generation: plan.generation }]
            : []),
        ...(stop ? [{ type: "stop-host" as const, upstreamId }] : []),
    ];
};

const missingLoads = ({ observed: { record, report } }: Pair, { plan }: OrderInput): readonly LoadEffect[] => {
    if (record.kind !== "engine" || report === undefined) {
        return [];
    }
    const target = { upstreamId: record.upstreamId, url: record.url, generation: plan.generation };
    const models = plan.models
        .filter(({ model, version }) => report.modelVersions[model] !== version)
        .map(({ model, version, artifact }): LoadEffect => ({
            type: "load-model",
            ...target,
            model,
            version,
            artifact,
        }));
    const adapters = plan.adapters
        .filter(({ adapter, model }) => report.modelVersions[model] !== undefined && !report.adapters.includes(adapter))
        .map(({ adapter, model, artifact }): LoadEffect => ({
            type: "load-adapter",
            ...target,
            adapter,
            model,
            artifact,
        }));
    return [...models, ...adapters];
};

const wasSentRecently = (effect: ControlEffect, { sentAtMs, monotonicMs, policy }: OrderInput): boolean =>
    monotonicMs - (sentAtMs.get(effectKey(effect)) ?? -Infinity) < policy.orderRetryMs;

/** Bounds the loads that run at the same time; engines without any model come first. */
const loadOrders = (pairs: readonly Pair[], input: OrderInput): readonly ControlEffect[] => {
    const emptyFirst = [...pairs].sort((left, right) =>
        Object.keys(left.observed.report?.modelVersions ?? {}).length
        - Object.keys(right.observed.report?.modelVersions ?? {}).length
    );
    const missing = emptyFirst.flatMap(pair => missingLoads(pair, input));
    const running = missing.filter(effect => wasSentRecently(effect, input)).length;
    const room = input.monotonicMs < input.loadsNotBeforeMs ? 0 : Math.max(0, input.policy.concurrentLoads - running);
    return missing.filter(effect => !wasSentRecently(effect, input)).slice(0, room);
};

const roleOrders = ({ observed: { record, report } }: Pair, { plan, role }: OrderInput): readonly ControlEffect[] =>
    role === undefined || report === undefined || report.role === role
        ? []
        : [{ type: "set-role", upstreamId: record.upstreamId, url: record.url, role, generation: plan.generation }];

/**
 * Derives the orders that bring what is observed to the stored plan. They are repeated until their effect shows, and
 * sending one twice has no further effect.
 */
export const planOrders = (input: OrderInput): readonly ControlEffect[] => {
    const byId = new Map(input.upstreams.map(observed => [observed.record.upstreamId, observed]));
    const observedOf = ({ upstreamId }: PlannedReplica): ObservedUpstream | undefined =>
        upstreamId === undefined ? undefined : byId.get(upstreamId);
    const serving = input.plan.replicas
        .filter(replica => replica.phase !== "draining")
        .flatMap((replica): readonly Pair[] => {
            const observed = observedOf(replica);
            return observed === undefined ? [] : [{ replica, observed }];
        });
    const draining = input.plan.replicas.filter(replica => replica.phase === "draining");
    return [
        ...draining.flatMap(replica => drainOrders(replica, observedOf(replica), input)),
        ...startOrders(input),
        ...serving.flatMap(pair => roleOrders(pair, input)),
    ].filter(effect => !wasSentRecently(effect, input)).concat(loadOrders(serving, input));
};
