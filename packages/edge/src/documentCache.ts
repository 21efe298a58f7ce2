import type { DocumentSet } from "@ibislanding/discovery";
import type { CompiledConfiguration } from "@ibislanding/gateway";

/** The latest documents that a host has received from the store or its peers. */
export interface DocumentCache extends AsyncDisposable {
    readonly configuration: () => CompiledConfiguration | undefined;
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Whether all watches reach the store. */
    readonly isStoreReachable: () => boolean;
    /** Store revision of each set, by name; 0 before the first snapshot. */
    readonly revisions: () => Readonly<Record<string, number>>;
    readonly offer: (set: string, documents: DocumentSet) => void;
}
