/** What a host states of the rollouts that it knows. */
export interface RolloutResponse {
    readonly rollouts: readonly {
        readonly service: string;
        readonly target?: string;
        /** Undefined while the host knows only the order. */
        readonly phase?: string;
        readonly reason?: string;
        /** Share of the new requests that the host sends to the target. */
        readonly share?: number;
        /** Unix time. */
        readonly deadlineMs?: number;
        /** Requests that run at other versions than the target, over all hosts. */
        readonly runningElsewhere: number;
        /** Counters of all hosts by version and route. */
        readonly versions: readonly {
            readonly version: string;
            readonly route: string;
            readonly sent: number;
            readonly answers: number;
            readonly failures: number;
            readonly slow: number;
        }[];
    }[];
}
