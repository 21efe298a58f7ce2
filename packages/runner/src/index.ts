// Deployments
export { deployments } from "./deployments/deployments";
export type { Deployment } from "./system/deployment";

// Systems
export type { ManagedProcess } from "./processes/managedProcess";
export type { ProcessPlan } from "./processes/processPlan";
export { startProcess } from "./processes/startProcess";
export { applyResources } from "./system/applyResources";
export { describeSystem } from "./system/describeSystem";
export type { RunningSystem } from "./system/runningSystem";
export { startSystem } from "./system/startSystem";
export type { SystemOptions } from "./system/systemOptions";

// Requests
export type { ExampleResult } from "./requests/exampleResult";
export { readStreamedText } from "./requests/readStreamedText";
export { sendExampleRequests } from "./requests/sendExampleRequests";
