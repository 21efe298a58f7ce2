/** Changes between two revisions, as sent by the watch endpoint. */
export interface WatchChange {
    readonly revision: number;
    /** Whether `resources` contains all resources rather than only the changed ones. */
    readonly snapshot: boolean;
    readonly resources: readonly { readonly kind: string; readonly name: string; readonly generation: number; }[];
    readonly deleted: readonly { readonly kind: string; readonly name: string; }[];
    readonly operations: readonly { readonly operationId: string; readonly changedBy: string; }[];
}
