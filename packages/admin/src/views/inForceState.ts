import type { Condition } from "./condition";

/** Whether a revision is in force on all members, without the time of the change. */
export type InForceState = Pick<Condition, "status" | "reason"> & {
    /** Number of members that report the revision or a later one. */
    readonly membersInForce: number;
    /** Number of members that must report it. */
    readonly membersExpected: number;
};
