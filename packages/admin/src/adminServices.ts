import type { Clock, RandomSource } from "@ibislanding/core";
import type { AuditArchive } from "./ports/auditArchive";
import type { ConfigurationAccess } from "./ports/configurationAccess";
import type { MemberReports } from "./ports/memberReports";
import type { StatusRecords } from "./ports/statusRecords";
import type { WatchSlots } from "./queries/watchSlots";
import type { ConditionTimes } from "./views/conditionTimes";

/** Services available to the routes of the administration API. */
export interface AdminServices {
    readonly configuration: ConfigurationAccess;
    readonly auditArchive: AuditArchive;
    readonly members: MemberReports;
    readonly statuses: StatusRecords;
    readonly conditionTimes: ConditionTimes;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly watchSlots: WatchSlots;
    readonly watchHeartbeatMs: number;
    /** Aborted when the process stops, which closes open watches. */
    readonly stopSignal: AbortSignal;
}
