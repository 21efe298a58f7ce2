/** How limits of accounts are kept. */
export interface AccountMeterOptions {
    /** Window over which an account may use its rate unevenly. */
    readonly windowMs: number;
    /** Time without a report after which a peer may be on the other side of a split. */
    readonly peerTimeoutMs: () => number;
    /** Units by which an account may exceed its limit in a window. */
    readonly toleratedUnits: number;
}
