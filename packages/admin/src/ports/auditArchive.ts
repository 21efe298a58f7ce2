import type { Failure } from "@ibislanding/core";
import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";

/** Which archived changes to read. */
interface ArchiveRange {
    readonly beforeRevision: number;
    readonly afterRevision: number;
    readonly limit: number;
}

/** Port to the changes that the configuration document no longer lists. */
export interface AuditArchive {
    /** Stores the document's recent changes that are not archived yet; a failed write is made up for by a later call. */
    readonly archive: (document: ConfigurationDocument) => Promise<void>;
    /** Returns archived changes, the latest first. */
    readonly read: (range: ArchiveRange) => Promise<Result<readonly ConfigurationChange[], Failure>>;
}
