import type { ObservedUpstream, PlacementConditions, PlannedReplica, ServicePlan } from "@ibislanding/placement";
import type { DesiredService } from "../service/desiredService";
import type { StatusEntry } from "./statusEntry";
import type { StatusRecord } from "./statusRecord";

type ConditionType = StatusRecord["conditions"][number]["type"];

const condition = (type: ConditionType, holds: boolean, reason: string): StatusRecord["conditions"][number] => ({
    type,
    status: holds ? "True" : "False",
    reason,
    changedAtMs: 0,
});

const zonesOf = (replicas: readonly PlannedReplica[]): StatusRecord["zones"] =>
    [...new Set(replicas.map(({ choice }) => choice.availabilityZone))].sort().map(availabilityZone => {
        const count = (phase: PlannedReplica["phase"]): number =>
            replicas.filter(replica => replica.phase === phase && replica.choice.availabilityZone === availabilityZone)
                .length;
        return { availabilityZone, starting: count("starting"), live: count("live"), draining: count("draining") };
    });

const modelEntry = (
    { name, generation, spec }: DesiredService["modelResources"][number],
    plan: ServicePlan,
    upstreams: readonly ObservedUpstream[],
): StatusEntry => {
    const byId = new Map(upstreams.map(({ record, report }) => [record.upstreamId, report]));
    const live = plan.replicas.filter(({ phase }) => phase === "live");
    const loaded = live.filter(({ upstreamId }) =>
        upstreamId !== undefined && byId.get(upstreamId)?.modelVersions[spec.model] === spec.version
    );
    const ready = live.length > 0 && loaded.length === live.length;
    const reason = `LoadedOn ${loaded.length} of ${live.length}`;
    const record = {
        observedGeneration: generation,
        conditions: [condition("Ready", ready, reason)],
        zones: zonesOf(loaded),
    };
    return { kind: "ModelVersion", name, record };
};

/** Derives the statuses of a service's Placement, Service and ModelVersion resources from its plan. */
export const listStatuses = (
    desired: DesiredService,
    plan: ServicePlan,
    conditions: PlacementConditions,
    upstreams: readonly ObservedUpstream[],
): readonly StatusEntry[] => {
    const zones = zonesOf(plan.replicas);
    const { carriesDemand, survivesZoneLoss, startsRefused } = conditions;
    const shortage = startsRefused ? "StartsRefused" : "WaitingForReplicas";
    const ready = condition("Ready", carriesDemand, carriesDemand ? "CarriesDemand" : shortage);
    const survives = condition("SurvivesZoneLoss", survivesZoneLoss, survivesZoneLoss ? "SpareZones" : shortage);
    const entry = (
        kind: StatusEntry["kind"],
        name: string,
        observedGeneration: number,
        list: StatusRecord["conditions"],
    ): StatusEntry => ({ kind, name, record: { observedGeneration, conditions: list, zones } });
    return [
        entry("Placement", desired.placementName, desired.placementGeneration, [ready, survives]),
        entry("Service", desired.name, desired.serviceGeneration, [ready]),
        ...desired.modelResources.map(model => modelEntry(model, plan, upstreams)),
    ];
};
