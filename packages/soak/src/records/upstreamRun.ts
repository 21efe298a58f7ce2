/** A request that an upstream began to run. */
export interface UpstreamRun {
    readonly requestId: string;
    readonly upstreamId: string;
    readonly service: string;
    readonly atMs: number;
    readonly accountId: string | undefined;
    /** First event of a stream that was made; 1 for a run from the start. */
    readonly firstEvent: number;
    /** Whether method, path and body are what the caller sent, and nothing of the caller's is there that must not be. */
    readonly isFaithful: boolean;
}
