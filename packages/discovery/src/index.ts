// Documents of the store
export { applyChanges } from "./documents/applyChanges";
export { createDocumentWatcher } from "./documents/createDocumentWatcher";
export type { DocumentSet } from "./documents/documentSet";
export type { DocumentWatcher } from "./documents/documentWatcher";
export type { DocumentWatcherOptions } from "./documents/documentWatcherOptions";
export { replaceDocuments } from "./documents/replaceDocuments";

// Reports between hosts
export { createReportExchange } from "./reports/createReportExchange";
export type { PeerReport } from "./reports/peerReport";
export type { ReportExchange } from "./reports/reportExchange";
export type { ReportExchangeOptions } from "./reports/reportExchangeOptions";

// Time
export type { ClusterClock } from "./time/clusterClock";
export { createClusterClock } from "./time/createClusterClock";
