/** Changes between two revisions as a watch receives them. */
export interface WatchChange {
    readonly revision: number;
    /** Whether `resources` holds all resources. */
    readonly snapshot: boolean;
    readonly resources: readonly { readonly kind: string; readonly name: string; readonly generation: number; }[];
    readonly deleted: readonly { readonly kind: string; readonly name: string; }[];
    readonly operations: readonly { readonly operationId: string; readonly changedBy: string; }[];
}
