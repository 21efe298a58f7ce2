export type { AdmissionLevel } from "./admissionLevel";
export { computeAdmissionLevel } from "./computeAdmissionLevel";
export { createAdmissionLevel } from "./createAdmissionLevel";
export type { DemandRow } from "./demandRow";
export type { LevelState } from "./levelState";
export type { LevelStateOptions } from "./levelStateOptions";
export type { OfferedRequest } from "./offeredRequest";
export { parseDemandRow } from "./parseDemandRow";
