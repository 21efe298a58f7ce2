import type { DocumentSet } from "@ibislanding/discovery";
import type { CompiledConfiguration } from "@ibislanding/gateway";

/** What a host knows from the store and its peers. */
export interface DocumentCache extends AsyncDisposable {
    readonly configuration: () => CompiledConfiguration | undefined;
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Whether the store answers. */
    readonly isStoreReachable: () => boolean;
    /** Revision of the store up to which each set is known. */
    readonly revisions: () => Readonly<Record<string, number>>;
    readonly offer: (set: string, documents: DocumentSet) => void;
}
