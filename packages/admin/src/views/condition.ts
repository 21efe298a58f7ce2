/** One condition in the status of a resource. */
export interface Condition {
    /** `Accepted`, `InForce`, `Ready`, or a further condition that `ibis-control` reports. */
    readonly type: string;
    readonly status: "True" | "False" | "Unknown";
    /** Machine-readable word or human-readable text. */
    readonly reason: string;
    readonly changedAtMs: number;
}
