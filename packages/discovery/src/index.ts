// Documents of the store
export { applyChanges } from "./documents/applyChanges";
export { createDocumentWatcher } from "./documents/createDocumentWatcher";
export type { DocumentPosition } from "./documents/documentPosition";
export type { DocumentSet } from "./documents/documentSet";
export type { DocumentWatcher } from "./documents/documentWatcher";
export type { DocumentWatcherOptions } from "./documents/documentWatcherOptions";
export { isNewerPosition } from "./documents/isNewerPosition";
export { replaceDocuments } from "./documents/replaceDocuments";

// Reports between hosts
export { createReportExchange } from "./reports/createReportExchange";
export type { Peer } from "./reports/peer";
export type { PeerReport } from "./reports/peerReport";
export type { ReportAggregation } from "./reports/reportAggregation";
export type { ReportExchange } from "./reports/reportExchange";
export type { ReportExchangeOptions } from "./reports/reportExchangeOptions";

// Time
export type { ClusterClock } from "./time/clusterClock";
export { createClusterClock } from "./time/createClusterClock";

// Messages between hosts
export type { StreamOrigin as StreamOriginMessage, StreamOriginQuery, StreamOriginReply } from "@ibislanding/protocol";
