/** A period in which a fault affected a host, or the store and therefore all hosts. */
export interface Disturbance {
    /** Undefined when all hosts are affected. */
    readonly hostName: string | undefined;
    readonly kind: string;
    readonly fromMs: number;
    untilMs: number;
}
