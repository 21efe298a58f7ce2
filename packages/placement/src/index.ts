// Leases
export { createLeaseHolder } from "./lease/createLeaseHolder";
export type { LeaseGrant } from "./lease/leaseGrant";
export type { LeaseHolder } from "./lease/leaseHolder";
export type { LeaseHolderOptions } from "./lease/leaseHolderOptions";
export type { LeaseRecord } from "./lease/leaseRecord";
export type { LeaseStrategy } from "./lease/leaseStrategy";
export { rankHolders } from "./lease/rankHolders";
export { safeLeaseStrategy } from "./lease/safeLeaseStrategy";

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
export { findTarget } from "./plan/findTarget";
export { listOptions } from "./plan/listOptions";
export type { PlacementRequirement } from "./plan/placementRequirement";
export type { PlacementTarget } from "./plan/placementTarget";
export type { ReplicaOption } from "./plan/replicaOption";
export { survivingCapacity } from "./plan/survivingCapacity";
export { totalPrice } from "./plan/totalPrice";

// Orders
export type { ControlEffect } from "./orders/controlEffect";
export { effectKey } from "./orders/effectKey";
export type { OrderInput } from "./orders/orderInput";
export { planOrders } from "./orders/planOrders";
export { startOperationId } from "./orders/startOperationId";
