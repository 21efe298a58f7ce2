// Configuration
export type { ClientAccount } from "./configuration/clientAccount";
export type { ClientLimits } from "./configuration/clientLimits";
export { compileConfiguration } from "./configuration/compileConfiguration";
export type { CompiledConfiguration } from "./configuration/compiledConfiguration";
export type { EngineSpec } from "./configuration/engineSpec";
export { findRoute } from "./configuration/findRoute";
export type { GatewayConfiguration } from "./configuration/gatewayConfiguration";
export type { Route } from "./configuration/route";
export type { RouteKind } from "./configuration/routeKind";
export type { ScalingSpec } from "./configuration/scalingSpec";
export type { ServiceSpec } from "./configuration/serviceSpec";

// Header codec
export type { HeaderCodec } from "./codec/headerCodec";
export type { PromptPart } from "./codec/promptPart";
export type { RequestHead } from "./codec/requestHead";
export type { ResponseHead } from "./codec/responseHead";
export type { UpstreamRequestHead } from "./codec/upstreamRequestHead";

// Upstreams
export type { CrashDetector } from "./upstreams/crashDetector";
export { createCrashDetector } from "./upstreams/createCrashDetector";
export { createUpstreamTable } from "./upstreams/createUpstreamTable";
export { probeAddress } from "./upstreams/probeAddress";
export type { UpstreamAddress } from "./upstreams/upstreamAddress";
export type { UpstreamLoad } from "./upstreams/upstreamLoad";
export type { UpstreamPlacement } from "./upstreams/upstreamPlacement";
export type { UpstreamRecord } from "./upstreams/upstreamRecord";
export type { UpstreamTable } from "./upstreams/upstreamTable";
export type { UpstreamTableOptions } from "./upstreams/upstreamTableOptions";

// Brittle upstreams
export type { BrittleRow } from "./brittle/brittleRow";

// Streams
export { createStreamRelief } from "./streams/createStreamRelief";
export type { RegisteredVersion } from "./streams/registeredVersion";
export type { StreamKnowledge } from "./streams/streamKnowledge";
export { STREAM_LIFETIME_MS } from "./streams/streamLifetimeMs";
export type { StreamOrigin } from "./streams/streamOrigin";
export type { StreamOrigins } from "./streams/streamOrigins";
export type { StreamRelief } from "./streams/streamRelief";
export type { VersionRow } from "./streams/versionRow";

// Versions
export { createVersionCounters } from "./versions/createVersionCounters";
export type { VersionCounters } from "./versions/versionCounters";
export type { VersionCounts } from "./versions/versionCounts";
export type { VersionPolicy } from "./versions/versionPolicy";

// Engines
export type { Continuation } from "./engines/continuation";
export type { EnginePort } from "./engines/enginePort";
export type { RunHandle } from "./engines/runHandle";

// Placement
export { chooseUpstream } from "./placement/chooseUpstream";
export { measureFreeShare } from "./placement/measureFreeShare";
export type { PlacementCandidate } from "./placement/placementCandidate";
export type { PlacementDecision } from "./placement/placementDecision";
export type { PlacementRequest } from "./placement/placementRequest";

// Explanation
export { explainRoute } from "./explanation/explainRoute";
export type { ExplainRouteOptions } from "./explanation/explainRouteOptions";
export type { RouteExplanation } from "./explanation/routeExplanation";
export type { RouteQuery } from "./explanation/routeQuery";

// Limits
export type { AccountAdmission } from "./limits/accountAdmission";
export type { AccountMeter } from "./limits/accountMeter";
export { createAccountMeter } from "./limits/createAccountMeter";
export { createRetryBudget } from "./limits/createRetryBudget";
export type { RetryBudget } from "./limits/retryBudget";

// Forwarding
export { createGateway } from "./forwarding/createGateway";
export { createRecentAnswers } from "./forwarding/createRecentAnswers";
export type { Gateway } from "./forwarding/gateway";
export type { GatewayEvents } from "./forwarding/gatewayEvents";
export type { GatewayOptions } from "./forwarding/gatewayOptions";
export type { RecentAnswers } from "./forwarding/recentAnswers";
export type { RelayedRequest } from "./forwarding/relayedRequest";
export type { RequestRelay } from "./forwarding/requestRelay";
