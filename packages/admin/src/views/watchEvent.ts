import type { Resource, ResourceKind } from "@ibislanding/resources";

/** Changes between two revisions as a watch sends them. */
export interface WatchEvent {
    readonly revision: number;
    /** Whether `resources` holds all resources, because the changes since the given revision are not kept. */
    readonly snapshot: boolean;
    /** Changed resources. */
    readonly resources: readonly Resource[];
    readonly deleted: readonly { readonly kind: ResourceKind; readonly name: string; }[];
    /** Operations accepted in between. */
    readonly operations: readonly { readonly operationId: string; readonly changedBy: string; }[];
}
