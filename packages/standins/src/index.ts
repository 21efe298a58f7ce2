// Servers
export { answerJson } from "./server/answerJson";
export { createStandInServer } from "./server/createStandInServer";
export type { FaultSettings } from "./server/faultSettings";
export type { Route } from "./server/route";
export type { StandInRequest } from "./server/standInRequest";
export type { StandInServer } from "./server/standInServer";

// Platform
export type { CloudStandInOptions } from "./cloud/cloudStandInOptions";
export { createCloudStandIn } from "./cloud/createCloudStandIn";
export type { StartRefusal } from "./cloud/startRefusal";
export { createHostListStandIn } from "./hostList/createHostListStandIn";
export { createKeyValueStandIn } from "./keyValue/createKeyValueStandIn";
export { createWeightStoreStandIn } from "./weightStore/createWeightStoreStandIn";

// Upstreams
export { answerTokens } from "./engine/answerTokens";
export { createEngineStandIn } from "./engine/createEngineStandIn";
export { defaultEngineProfile } from "./engine/defaultEngineProfile";
export type { EngineProfile } from "./engine/engineProfile";
export type { EngineStandIn } from "./engine/engineStandIn";
export { createServiceStandIn } from "./service/createServiceStandIn";
