// Runs
export { runSoak } from "./run/runSoak";
export type { SoakOptions } from "./run/soakOptions";
export type { SoakResult } from "./run/soakResult";

// Faults
export { faultHandlers } from "./faults/faultHandlers";
export type { FaultKind } from "./faults/faultKind";
export type { HostCut } from "./faults/hostCut";
export type { SoakHost } from "./faults/soakHost";
export type { SoakRoute } from "./faults/soakRoute";
export type { SoakUpstream } from "./faults/soakUpstream";
export type { SoakWorld } from "./faults/soakWorld";
export type { StoreFault } from "./faults/storeFault";
export type { UpstreamFault } from "./faults/upstreamFault";

// Links and processes
export { createLinkProxy } from "./links/createLinkProxy";
export type { LinkProxy } from "./links/linkProxy";
export { createHostProcess } from "./processes/createHostProcess";
export type { HostProcess } from "./processes/hostProcess";

// Records and checks
export { checkRecords } from "./checks/checkRecords";
export type { TimeBounds } from "./checks/timeBounds";
export type { Violation } from "./checks/violation";
export type { CallerAttempt } from "./records/callerAttempt";
export type { CrashCause } from "./records/crashCause";
export type { HostRun } from "./records/hostRun";
export type { RequestKind } from "./records/requestKind";
export type { SoakRecords } from "./records/soakRecords";
export type { StreamPosition } from "./records/streamPosition";
export type { UpstreamRun } from "./records/upstreamRun";

// Crowds of clients that don't keep to the limits
export type { CrowdKind } from "./crowds/crowdKind";
export type { CrowdPlan } from "./crowds/crowdPlan";
export type { CrowdTarget } from "./crowds/crowdTarget";
export { openCrowd } from "./crowds/openCrowd";
export { startCrowd } from "./crowds/startCrowd";
export { watchOccupancy } from "./crowds/watchOccupancy";
