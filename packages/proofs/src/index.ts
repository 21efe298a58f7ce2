// Histories
export { createHistoryWriter } from "./history/createHistoryWriter";
export type { HistoryRecord } from "./history/historyRecord";
export type { HistoryWriter } from "./history/historyWriter";
export { parseHistory } from "./history/parseHistory";

// Checks
export { checkActions } from "./checks/checkActions";
export { checkAnswers } from "./checks/checkAnswers";
export { checkConfiguration } from "./checks/checkConfiguration";
export { checkHistory } from "./checks/checkHistory";
export { checkLeaving } from "./checks/checkLeaving";
export type { ConfigurationBounds } from "./checks/configurationBounds";
export type { HistoryBounds } from "./checks/historyBounds";
export type { Violation } from "./checks/violation";

// Runs
export type { FaultKind } from "./faults/faultKind";
export type { RunOptions } from "./run/runOptions";
export { runProof } from "./run/runProof";
export type { RunResult } from "./run/runResult";
