/** Requests with the same cause. */
export interface CauseCount {
    readonly cause: string;
    readonly count: number;
    /** Hosts that logged them, with the number of each. */
    readonly hosts: Readonly<Record<string, number>>;
    /** One of them, to be explained by its id. */
    readonly exampleId: string;
}
