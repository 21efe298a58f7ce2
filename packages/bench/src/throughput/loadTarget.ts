/** Server to be measured under load. */
export interface LoadTarget {
    readonly name: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Creates the body of the request with the given sequence number. */
    readonly createBody: (count: number) => string;
    /** Reads the CPU time that the process has used, in seconds. */
    readonly readCpuSeconds: () => Promise<number>;
}
