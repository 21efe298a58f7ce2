import type { Resource, ResourceKind } from "@ibislanding/resources";

/** Changes between two revisions, sent as one event of a watch stream. */
export interface WatchEvent {
    readonly revision: number;
    /** Whether `resources` lists all resources, because the changes since the given revision are no longer recorded. */
    readonly snapshot: boolean;
    /** Changed resources, or all resources in a snapshot. */
    readonly resources: readonly Resource[];
    readonly deleted: readonly { readonly kind: ResourceKind; readonly name: string; }[];
    /** Operations accepted after the given revision, as far as they are recorded. */
    readonly operations: readonly { readonly operationId: string; readonly changedBy: string; }[];
}
