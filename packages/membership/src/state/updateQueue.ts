/** Kind of an update that waits to be sent along with probes. */
type UpdateKind = "member" | "status" | "notice" | "usage";

/** Updates that still have to be sent, those sent least often first. */
export interface UpdateQueue {
    /** Adds an update, or starts anew with the one under the same key. */
    readonly put: (kind: UpdateKind, key: string, sizeBytes: number) => void;
    /** Takes updates of the kinds within a size, and counts them as sent once more. */
    readonly take: (kinds: readonly UpdateKind[], budgetBytes: number, maximumSends: number) => readonly {
        readonly kind: UpdateKind;
        readonly key: string;
        readonly sizeBytes: number;
    }[];
    readonly size: () => number;
}
