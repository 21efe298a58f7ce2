/** Number of requests with the same cause. */
export interface CauseCount {
    readonly cause: string;
    readonly count: number;
    /** Number of these requests by the host that logged them. */
    readonly hosts: Readonly<Record<string, number>>;
    /** Id of one of these requests, for `ibisctl explain`. */
    readonly exampleId: string;
}
