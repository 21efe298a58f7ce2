/** Something that serves streams under load. */
export interface LoadTarget {
    readonly name: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Body of the request with the given number. */
    readonly createBody: (count: number) => string;
    /** Reads the CPU time of the process, in seconds. */
    readonly readCpuSeconds: () => Promise<number>;
}
