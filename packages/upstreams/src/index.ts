// Model engines
export type { CacheEvent } from "./engine/cacheEvent";
export type { CacheEvents } from "./engine/cacheEvents";
export type { ChatMessage } from "./engine/chatMessage";
export type { EngineClient } from "./engine/engineClient";
export type { EngineEvent } from "./engine/engineEvent";
export type { EngineLoad } from "./engine/engineLoad";
export type { EngineOrder } from "./engine/engineOrder";
export type { ExportedCache } from "./engine/exportedCache";
export type { GenerateRequest } from "./engine/generateRequest";

// Plain services
export type { ServiceAnswer } from "./service/serviceAnswer";
export type { ServiceCall } from "./service/serviceCall";
export type { ServiceClient } from "./service/serviceClient";
