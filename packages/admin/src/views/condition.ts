/** One statement about a resource. */
export interface Condition {
    readonly type: "Accepted" | "InForce" | "Ready";
    readonly status: "True" | "False" | "Unknown";
    /** Short word for programs, or a sentence for people. */
    readonly reason: string;
    readonly changedAtMs: number;
}
