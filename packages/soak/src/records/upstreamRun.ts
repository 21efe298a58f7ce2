/** A request that an upstream began to execute. */
export interface UpstreamRun {
    readonly requestId: string;
    readonly upstreamId: string;
    readonly service: string;
    /** Version of the upstream's software. */
    readonly softwareVersion: string;
    readonly atMs: number;
    readonly accountId: string | undefined;
    /** Number of the first event that the stream produced; 1 unless it was resumed. */
    readonly firstEvent: number;
    /** Whether path and body match what the caller sent and no header that hosts must strip was forwarded. */
    readonly isFaithful: boolean;
}
