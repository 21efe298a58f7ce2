/** One statement about a resource. */
export interface Condition {
    /** `Accepted`, `InForce`, `Ready`, or a further condition that `ibis-control` reports. */
    readonly type: string;
    readonly status: "True" | "False" | "Unknown";
    /** Short word for programs, or a sentence for people. */
    readonly reason: string;
    readonly changedAtMs: number;
}
