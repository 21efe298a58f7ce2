// Decisions
export { chooseRelayPeer } from "./decisions/chooseRelayPeer";
export { createCutHistory } from "./decisions/createCutHistory";
export { createSilentUpstreams } from "./decisions/createSilentUpstreams";
export { createUpstreamReachability } from "./decisions/createUpstreamReachability";
export type { CutHistory } from "./decisions/cutHistory";
export { judgeCutOff } from "./decisions/judgeCutOff";
export type { ProbeTarget } from "./decisions/probeTarget";
export type { RelayPeer } from "./decisions/relayPeer";
export { selectProbeTargets } from "./decisions/selectProbeTargets";
export type { UpstreamReachability } from "./decisions/upstreamReachability";

// Messages
export type { RelayHead } from "./messages/relayHead";
export { relayHeaders } from "./messages/relayHeaders";
export { removeRelayHeaders } from "./messages/removeRelayHeaders";

// Monitor
export { createReachabilityMonitor } from "./monitor/createReachabilityMonitor";
export type { ReachabilityMonitor } from "./monitor/reachabilityMonitor";
export type { SendWatch } from "./monitor/sendWatch";

// Client and listener
export { createRelayClient } from "./client/createRelayClient";
export type { RelayClient } from "./client/relayClient";
export type { RelayEnd } from "./client/relayEnd";
export type { RelaySend } from "./client/relaySend";
export type { RelaySendResult } from "./client/relaySendResult";
export type { AcceptedRelay } from "./listener/acceptedRelay";
export { startRelayListener } from "./listener/startRelayListener";
