import { deflateRawSync } from "node:zlib";
import type { ReportEnvelope } from "./reportEnvelope";

/** Encodes reports for one message; they repeat each other's names, so that deflating saves most of their size. */
export const encodeReports = (reports: readonly ReportEnvelope[]): Buffer => deflateRawSync(JSON.stringify(reports));
