import { deflateRawSync } from "node:zlib";
import type { ReportEnvelope } from "./reportEnvelope";

/** Encodes reports for one message; they repeat the same names, so compression removes most of their size. */
export const encodeReports = (reports: readonly ReportEnvelope[]): Buffer => deflateRawSync(JSON.stringify(reports));
