import type { MemberReport } from "../ports/memberReport";
import type { StatusRecord } from "../ports/statusRecord";
import type { ConditionTimes } from "./conditionTimes";

/** Data from which the status of a resource is derived. */
export interface ViewSource {
    readonly reports: readonly MemberReport[];
    /** Stored status: undefined if there is none, "unavailable" if it could not be read. */
    readonly record: StatusRecord | "unavailable" | undefined;
    readonly times: ConditionTimes;
}
