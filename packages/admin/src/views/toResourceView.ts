import type { Resource, ResourceKind } from "@ibislanding/resources";
import type { StatusRecord } from "../ports/statusRecord";
import type { Condition } from "./condition";
import { inForceStateOf } from "./inForceStateOf";
import type { ResourceView } from "./resourceView";
import type { ViewSource } from "./viewSource";

/** Conditions that are derived here; stored conditions of other types are returned unchanged. */
const DERIVED_CONDITION_TYPES = new Set(["Accepted", "InForce", "Ready"]);

type ConditionState = Pick<Condition, "status" | "reason"> & { readonly changedAtMs?: number; };

type ReadyRule = (record: StatusRecord | undefined, inForce: ConditionState, resource: Resource) => ConditionState;

const readyWhenReported: ReadyRule = (record, _inForce, resource) => {
    const reported = record?.conditions.find(({ type }) => type === "Ready");
    if (record === undefined || reported === undefined) {
        return { status: "Unknown", reason: "NoStatusReported" };
    }
    return record.observedGeneration < resource.generation
        ? { status: "Unknown", reason: "StatusOfEarlierGeneration" }
        : reported;
};

const readyWhenInForce: ReadyRule = (record, inForce, resource) =>
    record === undefined ? inForce : readyWhenReported(record, inForce, resource);

const readyRules: Readonly<Record<ResourceKind, ReadyRule>> = {
    Service: readyWhenReported,
    ModelVersion: readyWhenReported,
    Placement: readyWhenReported,
    Adapter: readyWhenReported,
    ClientAccount: readyWhenInForce,
    MachineClass: readyWhenInForce,
};

const readyStateOf = (resource: Resource, inForce: ConditionState, record: ViewSource["record"]): ConditionState =>
    record === "unavailable"
        ? { status: "Unknown", reason: "StatusUnavailable" }
        : readyRules[resource.kind](record, inForce, resource);

/** Converts a resource to its API representation, with a status derived from member reports and the stored status. */
export const toResourceView = (resource: Resource, { reports, record, times }: ViewSource): ResourceView => {
    const { kind, name, team, spec, generation, version, changedBy, changedAtMs } = resource;
    const toCondition = (type: Condition["type"], state: ConditionState): Condition => ({
        type,
        status: state.status,
        reason: state.reason,
        changedAtMs: state.changedAtMs
            ?? times.changedAtMs(`${kind}/${name}/${type}@${version}`, state.status),
    });
    const { status, reason } = inForceStateOf(reports, version);
    const inForce = { status, reason };
    const stored = record === "unavailable" ? undefined : record;
    return {
        kind,
        name,
        team,
        spec,
        generation,
        version,
        changedBy,
        changedAtMs,
        status: {
            observedGeneration: stored?.observedGeneration ?? (status === "True" ? generation : 0),
            conditions: [
                toCondition("Accepted", { status: "True", reason: "Stored", changedAtMs }),
                toCondition("InForce", inForce),
                toCondition("Ready", readyStateOf(resource, inForce, record)),
                ...(stored?.conditions ?? []).filter(({ type }) => !DERIVED_CONDITION_TYPES.has(type)),
            ],
            zones: stored?.zones ?? [],
        },
    };
};
