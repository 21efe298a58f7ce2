/** What one connection of a crowd sends: its first bytes, then one piece again and again up to a number of bytes. */
export interface CrowdTraffic {
    readonly first: Buffer;
    /** Sent as one write each. */
    readonly piece: Buffer;
    /** Bytes of pieces in total; the last piece is cut off there. */
    readonly pieceBytes: number;
    /** Whether the connection reads what it is answered. */
    readonly readsAnswers: boolean;
}
