// Documents of the store
export { applyChanges } from "./documents/applyChanges";
export { createDocumentFollower } from "./documents/createDocumentFollower";
export type { DocumentFollower } from "./documents/documentFollower";
export type { DocumentFollowerOptions } from "./documents/documentFollowerOptions";
export type { DocumentSet } from "./documents/documentSet";
export { replaceDocuments } from "./documents/replaceDocuments";

// Reports between hosts
export { createReportExchange } from "./reports/createReportExchange";
export type { PeerReport } from "./reports/peerReport";
export type { ReportExchange } from "./reports/reportExchange";
export type { ReportExchangeOptions } from "./reports/reportExchangeOptions";

// Time
export { createTrueTime } from "./time/createTrueTime";
export type { TrueTime } from "./time/trueTime";
