import type { SoakRecords } from "../records/soakRecords";
import { checkAnswers } from "./checkAnswers";
import { checkBrittle } from "./checkBrittle";
import { checkConfiguration } from "./checkConfiguration";
import { checkCrashes } from "./checkCrashes";
import { checkCuts } from "./checkCuts";
import { checkLeaving } from "./checkLeaving";
import { checkLimits } from "./checkLimits";
import { checkProcesses } from "./checkProcesses";
import { checkRecovery } from "./checkRecovery";
import { checkUsage } from "./checkUsage";
import { checkVersions } from "./checkVersions";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Runs all checks; those that depend on time are skipped when `bounds` is undefined. */
export const checkRecords = (
    records: SoakRecords,
    expectedBody: (requestId: string, lastEventId: number) => string,
    bounds: TimeBounds | undefined,
): readonly Violation[] => [
    ...checkAnswers(records, expectedBody),
    ...checkConfiguration(records, bounds),
    ...checkLeaving(records, bounds),
    ...checkCrashes(records, bounds),
    ...checkCuts(records, bounds),
    ...checkLimits(records, bounds),
    ...checkBrittle(records, bounds),
    ...checkVersions(records),
    ...checkUsage(records),
    ...checkRecovery(records),
    ...checkProcesses(records),
];
