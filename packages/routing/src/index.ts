// Inputs and options
export type { CacheChange } from "./model/cacheChange";
export { defaultRoutingOptions } from "./model/defaultRoutingOptions";
export type { LoadReport } from "./model/loadReport";
export type { RoutingEvent } from "./model/routingEvent";
export type { RoutingOptions } from "./model/routingOptions";
export type { UpstreamDescription } from "./model/upstreamDescription";

// State
export { applyRoutingEvent } from "./commands/applyRoutingEvent";
export { createPrefixIndex } from "./prefix/createPrefixIndex";
export type { PrefixIndex } from "./prefix/prefixIndex";
export { createRoutingState } from "./state/createRoutingState";
export type { RoutingState } from "./state/routingState";

// Decisions
export { describeRouting } from "./queries/describeRouting";
export { priceOf } from "./queries/priceOf";
export type { Selection } from "./queries/selection";
export type { SelectionRequest } from "./queries/selectionRequest";
export { selectServiceReplica } from "./queries/selectServiceReplica";
export { selectUpstream } from "./queries/selectUpstream";
export type { ServiceRequest } from "./queries/serviceRequest";
