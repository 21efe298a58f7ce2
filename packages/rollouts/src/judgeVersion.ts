import type { SoftwareVersion } from "@ibislanding/core";
import type { EvidenceSeries } from "./evidenceSeries";
import type { Verdict } from "./verdict";

/** Compares a version with the other versions of its service over the period of a series. */
export const judgeVersion = (_target: SoftwareVersion, _series: EvidenceSeries): Verdict => ({ kind: "undecided" });
