/** Settings of the rate limits of client accounts. */
export interface AccountMeterOptions {
    /** Window within which an account's requests may be distributed unevenly. */
    readonly windowMs: number;
    /** Time without a report after which a peer is assumed to be on the other side of a network partition. */
    readonly peerTimeoutMs: () => number;
    /** Units by which an account may exceed its limit in a window. */
    readonly toleratedUnits: number;
}
