/** Kind of an update that is sent along with probes. */
type UpdateKind = "member" | "status" | "notice" | "usage";

/** Updates waiting to be sent; those sent least often come first. */
export interface UpdateQueue {
    /** Adds an update; replaces one with the same kind and key, whose send count starts again at 0. */
    readonly put: (kind: UpdateKind, key: string, sizeBytes: number) => void;
    /** Selects updates of the kinds up to a total size and counts a send for each; drops them at `maximumSends`. */
    readonly take: (kinds: readonly UpdateKind[], budgetBytes: number, maximumSends: number) => readonly {
        readonly kind: UpdateKind;
        readonly key: string;
        readonly sizeBytes: number;
    }[];
    readonly size: () => number;
}
