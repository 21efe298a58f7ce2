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

// Engine adapter
export { createHttpEngineClient } from "./engine/createHttpEngineClient";

// Prompts
export { BLOCK_TOKENS } from "./prompt/blockTokens";
export { estimateTokenCount } from "./prompt/estimateTokenCount";
export { promptBlockHashes } from "./prompt/promptBlockHashes";
export { renderPrompt } from "./prompt/renderPrompt";

// Plain services
export { createHttpServiceClient } from "./service/createHttpServiceClient";
export type { ServiceCall } from "./service/serviceCall";
export type { ServiceClient } from "./service/serviceClient";
export type { ServiceResponse } from "./service/serviceResponse";
