// Leases
export { createLeaseHolder } from "./lease/createLeaseHolder";
export { defaultLeaseStrategy } from "./lease/defaultLeaseStrategy";
export type { LeaseGrant } from "./lease/leaseGrant";
export type { LeaseHolder } from "./lease/leaseHolder";
export type { LeaseHolderOptions } from "./lease/leaseHolderOptions";
export type { LeaseRecord } from "./lease/leaseRecord";
export type { LeaseStrategy } from "./lease/leaseStrategy";
export { rankCandidates } from "./lease/rankCandidates";

// Plan of a service
export { abandonStart } from "./plan/abandonStart";
export { choiceKey } from "./plan/choiceKey";
export { confirmStart } from "./plan/confirmStart";
export { defaultPlacementPolicy } from "./plan/defaultPlacementPolicy";
export type { DesiredAdapter } from "./plan/desiredAdapter";
export type { DesiredModel } from "./plan/desiredModel";
export { emptyServicePlan } from "./plan/emptyServicePlan";
export type { EngineReport } from "./plan/engineReport";
export type { ObservedUpstream } from "./plan/observedUpstream";
export type { PlacementConditions } from "./plan/placementConditions";
export type { PlacementDecision } from "./plan/placementDecision";
export type { PlacementInput } from "./plan/placementInput";
export type { PlacementPolicy } from "./plan/placementPolicy";
export type { PlannedReplica } from "./plan/plannedReplica";
export { planPlacement } from "./plan/planPlacement";
export { recordRefusal } from "./plan/recordRefusal";
export type { Refusal } from "./plan/refusal";
export type { ReplicaChoice } from "./plan/replicaChoice";
export type { ServiceDemand } from "./plan/serviceDemand";
export type { ServicePlan } from "./plan/servicePlan";

// Choice of replicas
export { carriesDemand } from "./plan/carriesDemand";
export { findPlacementTarget } from "./plan/findPlacementTarget";
export { listOptions } from "./plan/listOptions";
export type { PlacementRequirement } from "./plan/placementRequirement";
export type { PlacementTarget } from "./plan/placementTarget";
export type { ReplicaOption } from "./plan/replicaOption";
export { survivingCapacity } from "./plan/survivingCapacity";
export { totalPricePerHour } from "./plan/totalPricePerHour";

// Orders
export type { ControlOrder } from "./orders/controlOrder";
export type { OrderInput } from "./orders/orderInput";
export { orderKey } from "./orders/orderKey";
export { planOrders } from "./orders/planOrders";
export { startOperationId } from "./orders/startOperationId";
