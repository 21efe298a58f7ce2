/** The request that a crowd pretends to send. */
export interface CrowdTarget {
    /** Request line without its end. */
    readonly requestLine: string;
    /** Header lines that a listener demands before it reads a body. */
    readonly headers: Readonly<Record<string, string>>;
    /** Size of the largest body that the listener permits. */
    readonly bodyBytes: number;
}
