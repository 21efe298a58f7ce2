import type { MemberReport } from "../ports/memberReport";
import type { StatusRecord } from "../ports/statusRecord";
import type { ConditionTimes } from "./conditionTimes";

/** What a resource's status is derived from. */
export interface ViewSource {
    readonly reports: readonly MemberReport[];
    /** Stored status; "unavailable" when it could not be read. */
    readonly record: StatusRecord | "unavailable" | undefined;
    readonly times: ConditionTimes;
}
