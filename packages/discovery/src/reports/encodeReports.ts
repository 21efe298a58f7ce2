import { deflateRawSync } from "node:zlib";
import type { CarriedReport } from "./carriedReport";

/** Encodes reports for one message; they repeat each other's names, so that deflating saves most of their size. */
export const encodeReports = (reports: readonly CarriedReport[]): Buffer => deflateRawSync(JSON.stringify(reports));
