import type { Condition } from "./condition";

/** Whether a revision is in force, without the time of the change. */
export type InForceState = Pick<Condition, "status" | "reason"> & {
    /** Members that report the revision or a later one. */
    readonly membersInForce: number;
    /** Members that have to report it. */
    readonly membersExpected: number;
};
