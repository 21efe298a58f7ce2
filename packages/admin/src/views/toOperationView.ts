import type { ConfigurationChange } from "@ibislanding/resources";
import type { MemberReport } from "../ports/memberReport";
import { inForceStateOf } from "./inForceStateOf";
import type { OperationView } from "./operationView";

/** Converts a recorded change to its API representation, with whether it is in force. */
export const toOperationView = (
    change: ConfigurationChange,
    reports: readonly MemberReport[],
    dryRun = false,
): OperationView => ({
    ...change,
    dryRun,
    inForce: dryRun
        ? { status: "False", reason: "DryRun", membersInForce: 0, membersExpected: 0 }
        : inForceStateOf(reports, change.revision),
});
