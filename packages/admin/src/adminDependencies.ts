import type { ConfigurationFollower } from "@ibislanding/configuration";
import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { MemberReports } from "./ports/memberReports";

/** Dependencies and limits of the administration API's services. */
export interface AdminDependencies {
    readonly store: KeyValueStore;
    readonly follower: ConfigurationFollower;
    readonly members: MemberReports;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly maximumWatches: number;
    readonly watchHeartbeatMs: number;
    readonly stopSignal: AbortSignal;
}
