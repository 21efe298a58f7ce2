// Programs
export type { ProgramContext } from "./program/programContext";
export type { ProgramDefinition } from "./program/programDefinition";
export type { RunningProgram } from "./program/runningProgram";
export { runProgram } from "./program/runProgram";

// Settings
export type { ListenerSettings } from "./settings/listenerSettings";
export { listenerSettingsSchema } from "./settings/listenerSettingsSchema";
export { loadSettings } from "./settings/loadSettings";
export { platformSettingsSchema } from "./settings/platformSettingsSchema";
export type { ProcessSettings } from "./settings/processSettings";
export { processSettingsSchema } from "./settings/processSettingsSchema";
export { redactSettings } from "./settings/redactSettings";
export type { TlsSettings } from "./settings/tlsSettings";
export { tlsSettingsSchema } from "./settings/tlsSettingsSchema";

// Logs and metrics
export { createEventLog } from "./logs/createEventLog";
export { createLogger } from "./logs/createLogger";
export { describeError } from "./logs/describeError";
export type { EventLog } from "./logs/eventLog";
export type { EventLogOptions } from "./logs/eventLogOptions";
export type { Logger } from "./logs/logger";
export { tolerateLostReaders } from "./logs/tolerateLostReaders";
export type { Counter } from "./metrics/counter";
export { createMetricsRegistry } from "./metrics/createMetricsRegistry";
export type { Distribution } from "./metrics/distribution";
export type { MetricLabels } from "./metrics/metricLabels";
export type { MetricsRegistry } from "./metrics/metricsRegistry";
export { serveMetrics } from "./metrics/serveMetrics";

// HTTP
export type { ConnectionCloseCause } from "./http/connectionCloseCause";
export type { ConnectionLimits } from "./http/connectionLimits";
export { createHttpListener } from "./http/createHttpListener";
export { defaultConnectionLimits } from "./http/defaultConnectionLimits";
export { guardConnections } from "./http/guardConnections";
export type { HttpHandler } from "./http/httpHandler";
export type { HttpListener } from "./http/httpListener";
export { listen } from "./http/listen";
export { readBody } from "./http/readBody";
export { readJsonBody } from "./http/readJsonBody";
export { readTlsServerOptions } from "./http/readTlsServerOptions";
export { sendJson } from "./http/sendJson";
export { sendProblem } from "./http/sendProblem";
