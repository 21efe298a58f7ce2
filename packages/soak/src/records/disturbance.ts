/** A time in which a host, or the store for all hosts, was disturbed. */
export interface Disturbance {
    /** Undefined for the store. */
    readonly hostName: string | undefined;
    readonly kind: string;
    readonly fromMs: number;
    untilMs: number;
}
