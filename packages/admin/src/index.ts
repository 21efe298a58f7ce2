// Administration API
export type { AdminDependencies } from "./adminDependencies";
export type { AdminServices } from "./adminServices";
export { createAdminServices } from "./createAdminServices";
export { createAdminHandler } from "./http/createAdminHandler";
export { createAuthenticator } from "./operators/createAuthenticator";
export type { MemberReport } from "./ports/memberReport";
export type { MemberReports } from "./ports/memberReports";

// Settings
export type { AdminSettings } from "./settings/adminSettings";
export { adminSettingsSchema } from "./settings/adminSettingsSchema";
