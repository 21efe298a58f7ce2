/** Load that one host causes at an upstream. */
export interface UpstreamLoad {
    /** Requests in flight. */
    readonly running: number;
    /** Prompt tokens of requests in flight that are not known to be processed yet. */
    readonly backlogTokens: number;
}
